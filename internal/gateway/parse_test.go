package gateway_test

import (
	"encoding/json"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/gateway"
)

// FuzzParseChat guards against a request body that makes ParseChat panic or
// return an error of a kind other than bad_request, and against an accepted
// request whose fields can't be encoded again for the engine.
func FuzzParseChat(f *testing.F) {
	f.Add(`{"messages":[{"role":"user","content":"hello"}]}`)
	f.Add(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1,"max_tokens":5,"stream":true}`)
	f.Add(`{"messages":null}`)
	f.Fuzz(func(t *testing.T, body string) {
		request, err := gateway.ParseChat([]byte(body))
		if err != nil {
			if !classifier.Is(err, classifier.BadRequest) {
				t.Errorf("ParseChat() got error %v, want bad_request", err)
			}
			return
		}
		if _, err := json.Marshal(request.Fields); err != nil {
			t.Errorf("json.Marshal(Fields) of an accepted request got error %v, want nil", err)
		}
	})
}

// TestParseCost guards against a cost without exactly six decimal places being
// read as a different amount.
func TestParseCost(t *testing.T) {
	rows := map[string]struct {
		text string
		want int64
		ok   bool
	}{
		"above one unit":    {"1.000002", 1_000_002, true},
		"below one unit":    {"0.000050", 50, true},
		"no fraction":       {"1", 0, false},
		"one decimal place": {"1.5", 0, false},
		"invalid number":    {"x.000000", 0, false},
		"no units":          {".000000", 0, false},
		"negative":          {"-1.000000", 0, false},
		"signed":            {"+1.000000", 0, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			got, err := gateway.ParseCost(row.text)
			if int64(got) != row.want || (err == nil) != row.ok {
				t.Errorf("ParseCost(%q) got %d, %v, want %d", row.text, got, err, row.want)
			}
		})
	}
}
