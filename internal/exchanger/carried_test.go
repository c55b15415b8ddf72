package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

// TestConnectionCarriesIDOnce guards against a response to an earlier request that is taken for
// the response to a later one with the same id: their connection must not be the same. It also
// guards against connections that are opened without need.
func TestConnectionCarriesIDOnce(t *testing.T) {
	// many returns ids of which none repeats.
	many := func(count int) (ids []string) {
		for i := range count {
			ids = append(ids, fmt.Sprint("m", i))
		}
		return ids
	}
	rows := map[string]struct {
		ids []string
		// wantOpened is the number of connections that the requests open, one after the other.
		wantOpened uint64
	}{
		"different ids":              {[]string{"a", "b", "c"}, 1},
		"the same id":                {[]string{"a", "a"}, 2},
		"the same id after another":  {[]string{"a", "b", "a"}, 2},
		"the same id three times":    {[]string{"a", "a", "a"}, 3},
		"other ids use what is open": {[]string{"a", "a", "b", "c", "a"}, 3},
		"the same id after many":     {append(many(100), "m0"), 2},
		"more ids than are kept":     {many(600), 2},
		"the same id after all that": {append(many(600), "m0", "m599", "m5"), 3},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(connection net.Conn, _ int) {
				reader := bufio.NewReader(connection)
				for {
					if _, err := readRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(connection, okResponse)
				}
			})
			e := exchanger.New(connector.TCP{}, anyResponse)
			t.Cleanup(e.Close)
			for _, id := range row.ids {
				if got, failure := doWithID(t, e, address, id, "x"); failure != nil || got != "done" {
					t.Fatalf("Do() got %q, %v, want a response", got, failure)
				}
			}
			if got := e.Counts().Opened; got != row.wantOpened {
				t.Errorf("connections for %d ids got %d, want %d", len(slices.Compact(row.ids)), got, row.wantOpened)
			}
		})
	}
}
