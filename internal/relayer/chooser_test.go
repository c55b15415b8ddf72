package relayer_test

import (
	"net/netip"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
)

func TestChooseRole(t *testing.T) {
	self := relayer.ZoneReader{Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7341")}
	other := relayer.ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.2:7341")}
	restarted := relayer.ZoneReader{Name: "b", Address: netip.MustParseAddrPort("10.1.0.9:7341")}
	rows := map[string]struct {
		inputs relayer.RoleInputs
		want   relayer.Role
	}{
		"nobody reads":                       {relayer.RoleInputs{Self: self}, relayer.Claiming},
		"another reads":                      {relayer.RoleInputs{Self: self, Reader: other}, relayer.Following},
		"the log names this daemon":          {relayer.RoleInputs{Self: self, Reader: self}, relayer.Reading},
		"the reader has failed":              {relayer.RoleInputs{Self: self, Reader: other, FailedReader: other}, relayer.Claiming},
		"the failed one was replaced":        {relayer.RoleInputs{Self: self, Reader: restarted, FailedReader: other}, relayer.Following},
		"this daemon stops":                  {relayer.RoleInputs{Self: self, Reader: self, Draining: true}, relayer.Alone},
		"this daemon stops and none is left": {relayer.RoleInputs{Self: self, Draining: true}, relayer.Alone},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := relayer.ChooseRole(row.inputs); got != row.want {
				t.Errorf("Choose() got %s, want %s", got, row.want)
			}
		})
	}
}
