package commander_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/commander"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
)

// run runs the program and returns its exit code and its output, including errors.
func run(args ...string) (code int, printed string) {
	var out bytes.Buffer
	code = commander.Main(append([]string{"quetzalgrade"}, args...), &out, &out)
	return code, out.String()
}

// TestCommandLine guards against wrong exit codes and messages of commands that
// need no daemon, such as an unknown flag that is not reported as wrong usage.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(settings, []byte("cluster = \"c\"\n[listen]\ncalers = \"x\""), 0o600); err != nil {
		t.Fatalf("write settings: %v", err)
	}
	key := filepath.Join(dir, "a.key")
	rows := map[string]struct {
		args []string
		code int
		want string
	}{
		"valid declarations":          {[]string{"check", "../../deploy/derwent", "../../deploy/mekong"}, 0, "ok"},
		"misspelt key":                {[]string{"check", settings}, 1, `settings.toml:3: listen.calers: unknown key; did you mean "callers"?`},
		"check without a path":        {[]string{"check"}, 2, "at least one"},
		"path does not exist":         {[]string{"check", "nowhere"}, 2, "nowhere"},
		"unknown command":             {[]string{"chek"}, 2, `there is no command "chek"`},
		"unknown flag":                {[]string{"check", "--all"}, 2, "all"},
		"missing flag":                {[]string{"serve"}, 2, "settings"},
		"load target not on loopback": {[]string{"load", "--key", settings, "--target", "192.0.2.1:80"}, 2, "not a loopback address"},
		"load duration too long":      {[]string{"load", "--key", settings, "--duration", "1h"}, 2, "duration"},
		"memory too small":            {[]string{"entry", "--settings", settings, "--memory", "12.5"}, 2, "want 64 to"},
		"memory not a number":         {[]string{"entry", "--settings", settings, "--memory", "NaN"}, 2, "want 64 to"},
		"memory with a fraction":      {[]string{"entry", "--settings", settings, "--memory", "283.5"}, 1, "calers"},
		"missing operator token":      {[]string{"status"}, 2, "--token is missing"},
		"invalid operator address":    {[]string{"status", "--address", "here"}, 2, "not IP:PORT"},
		"printed key":                 {[]string{"key"}, 0, "digest"},
		"key file":                    {[]string{"key", "--out", key}, 0, ""},
		"help contains an example":    {[]string{"apply", "--help"}, 0, "quetzalgrade apply deploy/derwent"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			code, printed := run(row.args...)
			if code != row.code || !strings.Contains(printed, row.want) {
				t.Errorf("got exit code %d and %q, want %d and %q", code, printed, row.code, row.want)
			}
		})
	}
	if code, _ := run("key", "--out", key); code != 1 {
		t.Errorf("a key file that exists got exit code %d, want 1", code)
	}
}

// startFleet starts the daemons of a deployment on loopback and returns the
// operator flags that address one of them.
func startFleet(t *testing.T) (flags []string) {
	t.Helper()
	declaration, err := demonstrator.LoadDeployment("derwent")
	if err != nil {
		t.Fatalf("Deployment() got error %v, want nil", err)
	}
	fleet, err := demonstrator.Start(demonstrator.Options{
		Declaration: declaration, Hosts: demonstrator.LoopbackHosts{}, DaemonsPerZone: 1,
		Qualities: demonstrator.DemoQualities, Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatalf("Start() got error %v, want nil", err)
	}
	t.Cleanup(fleet.Close)
	token := filepath.Join(t.TempDir(), "operators.key")
	if err := os.WriteFile(token, []byte(demonstrator.OperatorToken), 0o600); err != nil {
		t.Fatalf("write token: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := &http.Client{Transport: connector.NewTransport(connector.TCP{})}
	if err := fleet.Apply(ctx, client, fleet.Declaration(), "test", "start"); err != nil {
		t.Fatalf("Apply() got error %v, want nil", err)
	}
	return []string{"--address", fleet.Daemons()[0].Server.Addresses().Operators.String(), "--token", token}
}

// TestOperatorCommands guards against operator commands that accept a change they
// must refuse, or that print the wrong result. Each step depends on the revisions
// that the steps before it published.
func TestOperatorCommands(t *testing.T) {
	flags := startFleet(t)
	start := []string{"rollout", "start", "wren-v2", "--model", "wren", "--from", "v1", "--to", "v2", "--people", "50", "--reason", "new wren"}
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status"}, 0, "revision 1"},
		{[]string{"status", "--json"}, 0, `"revision"`},
		{[]string{"plan", "../../deploy/derwent"}, 0, "10 differences"},
		{[]string{"apply", "../../deploy/derwent", "--reason", "own keys", "--author", "me"}, 0, "revision 2 accepted"},
		{[]string{"apply", "../../deploy/derwent", "--reason", "again"}, 0, "nothing to change"},
		{[]string{"apply", "../../deploy/derwent", "--reason", "late", "--on", "1"}, 1, "refused: planned on revision 1, but revision 2 is in force"},
		{start, 0, "revision 3 accepted"},
		{start, 1, "is under way"},
		{[]string{"rollout", "pause", "wren-v2", "--reason", "look"}, 0, "revision 4 accepted"},
		{[]string{"rollout", "pause", "wren-v2", "--reason", "look"}, 1, "the roll-out is paused"},
		{[]string{"rollout", "abort", "wren-v2", "--reason", "no"}, 0, "revision 5 accepted"},
		{[]string{"rollout", "withdraw", "wren@v2", "--reason", "wrong times"}, 0, "revision 6 accepted"},
		{[]string{"apply", "../../deploy/derwent", "--reason", "again"}, 0, "nothing to change"},
		{[]string{"rollout", "restore", "wren@v2", "--reason", "mended"}, 0, "revision 7 accepted"},
		{[]string{"rollout", "withdraw", "wren@v9", "--reason", "x"}, 1, "not declared"},
		{[]string{"audit"}, 0, "me: own keys"},
		{[]string{"bill", "rota-office"}, 0, "0.000000 for 0 requests"},
		{[]string{"bill", "nobody"}, 1, "there is no account"},
	}
	for _, step := range steps {
		code, printed := run(append(step.args, flags...)...)
		if code != step.code || !strings.Contains(printed, step.want) {
			t.Errorf("%v got exit code %d and %q, want %d and %q", step.args, code, printed, step.code, step.want)
		}
	}
}
