package runner_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/runner"
)

const validSettings = `name = "entry-1"
zone = "ouse"

[listen]
callers = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
metrics = "127.0.0.1:9464"

[store]
address = "127.0.0.1:8223"
writes = 400
reads = 2000.0

[bounds]
revoke = "5000ms"
leave = "2000ms"
grace = "8s"
repeats = 0.9
expose = 0.15
slack = 30
session = "6.7s"
`

// An invalid setting must be rejected with the line, the key and a hint, so that
// a daemon does not start with a zero time or an unusable address.
func TestLoadSettings(t *testing.T) {
	rows := map[string]struct {
		old, new string
		// want are parts of the error message. It is empty if the settings are valid.
		want []string
	}{
		"valid":                {"", "", nil},
		"missing name":         {`name = "entry-1"`, "", []string{"name", "is missing"}},
		"invalid address":      {`"127.0.0.1:8220"`, `"ready"`, []string{":6:", "listen.ready", "is not an address"}},
		"misspelt key":         {"revoke =", "revok =", []string{":15:", "revok", "revoke"}},
		"zero duration":        {`"8s"`, `"0s"`, []string{":17:", "bounds.grace"}},
		"unknown log level":    {`zone = "ouse"`, "zone = \"ouse\"\nlog = \"inof\"", []string{":3:", "log: \"inof\" is not a log level", "info"}},
		"negative share":       {"expose = 0.15", "expose = -1.0", []string{":19:", "bounds.expose"}},
		"share over 1":         {"expose = 0.15", "expose = 1.5", []string{":19:", "bounds.expose", "between 0 and 1"}},
		"negative slack":       {"slack = 30", "slack = -0.5", []string{":20:", "bounds.slack"}},
		"negative cold factor": {`session = "6.7s"`, "session = \"6.7s\"\ncold = -1.5", []string{":22:", "bounds.cold", "between 0 and 10"}},
		"negative cold margin": {`session = "6.7s"`, "session = \"6.7s\"\nmargin = -5", []string{":22:", "bounds.margin", "is negative"}},
		"released request":     {`zone = "ouse"`, "zone = \"ouse\"\nrelease = [\"90dea8f6efa7b5e7\"]", nil},
		"invalid digest":       {`zone = "ouse"`, "zone = \"ouse\"\nrelease = [\"r-12\"]", []string{":3:", "release", "is not a digest"}},
		"not TOML":             {"[bounds]", "[bounds", []string{":14:"}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(validSettings, row.old, row.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			settings, err := runner.LoadSettings(file)
			if len(row.want) == 0 {
				if err != nil || settings.SessionTimeout.String() != "6.7s" {
					t.Errorf("LoadSettings() got %v, session %v, want valid settings", err, settings.SessionTimeout)
				}
				return
			}
			for _, part := range row.want {
				if err == nil || !strings.Contains(err.Error(), part) {
					t.Errorf("LoadSettings() got error %v, want one with %q", err, part)
				}
			}
		})
	}
}
