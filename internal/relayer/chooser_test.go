package relayer_test

import (
	"net/netip"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
)

func TestChoose(t *testing.T) {
	self := relayer.Record{Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7341")}
	other := relayer.Record{Name: "b", Address: netip.MustParseAddrPort("10.1.0.2:7341")}
	reborn := relayer.Record{Name: "b", Address: netip.MustParseAddrPort("10.1.0.9:7341")}
	rows := map[string]struct {
		view relayer.View
		want relayer.Role
	}{
		"nobody reads":                       {relayer.View{Self: self}, relayer.Claiming},
		"another reads":                      {relayer.View{Self: self, Reader: other}, relayer.Following},
		"the log names this daemon":          {relayer.View{Self: self, Reader: self}, relayer.Reading},
		"the reader has failed":              {relayer.View{Self: self, Reader: other, Failed: other}, relayer.Claiming},
		"the failed one was replaced":        {relayer.View{Self: self, Reader: reborn, Failed: other}, relayer.Following},
		"this daemon stops":                  {relayer.View{Self: self, Reader: self, Leaving: true}, relayer.Alone},
		"this daemon stops and none is left": {relayer.View{Self: self, Leaving: true}, relayer.Alone},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := relayer.Choose(row.view); got != row.want {
				t.Errorf("Choose() got %s, want %s", got, row.want)
			}
		})
	}
}
