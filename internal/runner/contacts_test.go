package runner

import (
	"net/netip"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// TestContactsDue guards against zones that are split into two groups for good: zones that
// know each other already must still read the contacts of all others once, and again later.
// It also bounds the calls of a single zone.
func TestContactsDue(t *testing.T) {
	rows := map[string]struct {
		reads          int
		knowsOtherZone bool
		sinceRead      time.Duration
		want           bool
	}{
		"start":                               {0, false, time.Second, true},
		"a zone is known before any read":     {0, true, time.Second, true},
		"no zone is known after a read":       {1, false, time.Second, true},
		"a zone is known after a read":        {1, true, time.Second, false},
		"a single zone":                       {maxContactReads, false, time.Second, false},
		"a single zone later":                 {maxContactReads, false, contactRefresh, true},
		"a zone is known, the read is old":    {1, true, contactRefresh, true},
		"several reads, the last one is old":  {9, true, contactRefresh, true},
		"several reads, the last one is late": {9, true, contactRefresh - 1, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := contactsDue(row.reads, row.knowsOtherZone, row.sinceRead); got != row.want {
				t.Errorf("contactsDue() got %v, want %v", got, row.want)
			}
		})
	}
}

// TestContactIsLost guards against a zone that others cannot find because the log has lost its
// contact, and against two daemons of a zone that replace each other's records without end.
func TestContactIsLost(t *testing.T) {
	const zone = "ouse"
	self := relayer.ZoneReader{Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7341")}
	other := relayer.ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.2:7341")}
	rows := map[string]struct {
		contacts           map[string]relayer.ZoneReader
		publishedIn, epoch subscriber.Epoch
		want               bool
	}{
		"named":                           {map[string]relayer.ZoneReader{zone: self}, 1, 1, false},
		"named after a restore":           {map[string]relayer.ZoneReader{zone: self}, 1, 2, false},
		"nobody is named":                 {map[string]relayer.ZoneReader{"tees": other}, 1, 1, true},
		"nobody is named after a restore": {nil, 1, 2, true},
		"nobody, the log has no epoch":    {nil, 0, 0, true},
		"another one":                     {map[string]relayer.ZoneReader{zone: other}, 1, 1, false},
		"another one after a restore":     {map[string]relayer.ZoneReader{zone: other}, 1, 2, true},
		"another one, not published yet":  {map[string]relayer.ZoneReader{zone: other}, 0, 1, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := &contacts{Runner: &Runner{}, self: self, publishedIn: row.publishedIn}
			c.settings.Store(&Settings{Zone: zone})
			if got := c.isLost(row.contacts, row.epoch); got != row.want {
				t.Errorf("isLost() got %t, want %t", got, row.want)
			}
		})
	}
}
