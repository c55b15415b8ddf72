package relayer_test

import (
	"net/netip"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
)

// A daemon must not send its reads to a zone reader that has failed, or to itself.
// After a failure it must claim the role unless the log already names another
// reader, and it must give up the role when it drains.
func TestChooseRole(t *testing.T) {
	self := relayer.ZoneReader{Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7341")}
	other := relayer.ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.2:7341")}
	restarted := relayer.ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.9:7341")}
	rows := map[string]struct {
		inputs relayer.RoleInputs
		want   relayer.Role
	}{
		"no zone reader":                           {relayer.RoleInputs{Self: self}, relayer.Claiming},
		"another daemon is the zone reader":        {relayer.RoleInputs{Self: self, Reader: other}, relayer.Following},
		"this daemon is the zone reader":           {relayer.RoleInputs{Self: self, Reader: self}, relayer.Reading},
		"the zone reader has failed":               {relayer.RoleInputs{Self: self, Reader: other, FailedReader: other}, relayer.Claiming},
		"the failed zone reader was replaced":      {relayer.RoleInputs{Self: self, Reader: restarted, FailedReader: other}, relayer.Following},
		"this zone reader drains":                  {relayer.RoleInputs{Self: self, Reader: self, Draining: true}, relayer.Alone},
		"this daemon drains without a zone reader": {relayer.RoleInputs{Self: self, Draining: true}, relayer.Alone},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := relayer.ChooseRole(row.inputs); got != row.want {
				t.Errorf("ChooseRole() got %s, want %s", got, row.want)
			}
		})
	}
}
