package decoder_test

import (
	"strings"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// TestFaultsReportFileLineKeyAndFix guards against faults that an operator can't
// find in the file: each must have the position, the key and a way to fix it.
func TestFaultsReportFileLineKeyAndFix(t *testing.T) {
	rows := map[string]struct{ text, want string }{
		"misspelt key":            {"cluster = \"c\"\n[listen]\ncalers = \"x\"", `f.toml:3: listen.calers: unknown key; did you mean "callers"?`},
		"misspelt table":          {"[platfrom]\nlog = \"x\"", `f.toml:1: platfrom: unknown key; did you mean "platform"?`},
		"wrong type":              {"\nname = 7", `f.toml:2: name: value 7 has the wrong type; use a string`},
		"negative number":         {"[limits]\nbody = -1", `f.toml:2: limits.body: -1 is out of range`},
		"duration without a unit": {"drain = \"10\"", `f.toml:1: drain: "10" is not a duration; write a number with a unit`},
		"number as a duration":    {"drain = 10", `f.toml:1: drain: value 10 has the wrong type; use a duration such as "1m30s"`},
		"string as a list":        {"peers = \"x\"", `f.toml:1: peers: value x has the wrong type; use a list`},
		"syntax error":            {"name = \"x\"\nzone = ", `f.toml:2:`},
		"duplicate key":           {"name = \"x\"\nname = \"y\"", `f.toml:2:`},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			_, err := decoder.Decode("f.toml", []byte(row.text), &schema.Settings{})
			if err == nil || !strings.Contains(err.Error(), row.want) {
				t.Errorf("Decode() got error %v, want %q", err, row.want)
			}
		})
	}
}

// TestFaultsInArraysOfTables guards against a fault in the second table of an
// array being reported at the line of another table with the same key.
func TestFaultsInArraysOfTables(t *testing.T) {
	text := "[[services.a.workers]]\naddress = \"x\"\n\n[[services.a.workers]]\nadress = \"y\""
	_, err := decoder.Decode("f.toml", []byte(text), &schema.Declaration{})
	if want := `f.toml:5: services.a.workers.1.adress: unknown key; did you mean "address"?`; err == nil || err.Error() != want {
		t.Errorf("Decode() got error %v, want %q", err, want)
	}
}

// FuzzBytes guards against TOML text that makes Decode panic or return an error
// without a message.
func FuzzBytes(f *testing.F) {
	f.Add("cluster = \"c\"\n[listen]\ncallers = \"127.0.0.1:1\"")
	f.Add("[[services.a.workers]]\nslots = 1e3")
	f.Fuzz(func(t *testing.T, text string) {
		declaration := &schema.Declaration{}
		if _, err := decoder.Decode("f.toml", []byte(text), declaration); err != nil && err.Error() == "" {
			t.Error("Decode() got an error with an empty message, want a message")
		}
		_, _ = decoder.Decode("f.toml", []byte(text), &schema.Settings{})
	})
}
