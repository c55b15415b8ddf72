package relayer

import (
	"net/netip"
	"testing"
	"time"
)

// TestMustRecord guards against a zone reader that takes the role back from another daemon although
// nobody reads from it any more, and against one that leaves its readers without a record.
func TestMustRecord(t *testing.T) {
	self := ZoneReader{Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7341")}
	other := ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.2:7341")}
	rows := map[string]struct {
		role     Role
		reader   ZoneReader
		sinceUse time.Duration
		draining bool
		want     bool
	}{
		"nobody is named":                  {role: Reading, sinceUse: time.Hour, want: true},
		"this daemon is named":             {role: Reading, reader: self},
		"another one, in use":              {role: Reading, reader: other, sinceUse: readerUse - 1, want: true},
		"another one, not in use any more": {role: Reading, reader: other, sinceUse: readerUse},
		"not the zone reader":              {role: Following},
		"draining":                         {role: Reading, draining: true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := 2 * time.Hour
			r := &Relayer{Options: Options{Self: self, Clock: func() time.Duration { return now }}, role: row.role, lastRequest: now - row.sinceUse}
			r.draining.Store(row.draining)
			if got := r.mustRecord(row.reader); got != row.want {
				t.Errorf("mustRecord() got %t, want %t", got, row.want)
			}
		})
	}
}
