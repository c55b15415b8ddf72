package runner

import (
	"testing"
	"time"
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
