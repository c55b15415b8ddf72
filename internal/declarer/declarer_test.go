package declarer_test

import (
	"strings"
	"testing"
	"testing/fstest"

	"quetzalgrade.example/quetzalgrade/internal/declarer"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const baseFile = `cluster = "c"
[zones.z]
region = "r"
[models.m.versions.v1]
price = { input = 1, output = 2 }
quality = 0.8
[services.s]
kind = "model"
[[services.s.workers]]
address = "127.0.0.1:9000"
zone = "z"
versions = ["m@v1"]
`

const templateFile = `[templates.t]
parameters = ["spend"]
[templates.t.policy]
models = ["m"]
quality = 0.7
spend = "${spend}"
deadline = "10s"
`

const keyDigest = "0000000000000000000000000000000000000000000000000000000000000001"

// TestLoadFSReportsFileLineAndFix guards against faults of the compiler that lose
// their position: it checks the merged declaration, not the file with the fault.
func TestLoadFSReportsFileLineAndFix(t *testing.T) {
	account := "[accounts.a]\ntemplate = \"t\"\nkeys = [\"" + keyDigest + "\"]\n"
	rows := map[string]struct{ template, account, want string }{
		"valid declaration":           {templateFile, account + "parameters = { spend = 5 }", ""},
		"unset parameter":             {templateFile, account, `a.toml:1: accounts.a.parameters: parameter "spend" of template t is not set`},
		"unknown parameter":           {templateFile, account + "parameters = { spend = 5, rat = 1 }", `a.toml:4: accounts.a.parameters.rat: is not a parameter of template t`},
		"misspelt policy key":         {strings.Replace(templateFile, "quality", "qualty", 1), account + "parameters = { spend = 5 }", `t.toml:5: templates.t.policy.qualty: unknown key; did you mean "quality"?`},
		"unknown template":            {templateFile, strings.Replace(account, `"t"`, `"tt"`, 1), `a.toml:2: accounts.a.template: template "tt" is not declared; did you mean "t"?`},
		"parameter of the wrong type": {templateFile, account + "parameters = { spend = \"much\" }", `t.toml:6: templates.t.policy.spend: value much has the wrong type; use a number`},
		"undeclared model":            {strings.Replace(templateFile, `["m"]`, `["mm"]`, 1), account + "parameters = { spend = 5 }", `t.toml:4: templates.t.policy.models.0: model "mm" is not declared; did you mean "m"?`},
		"quality out of range":        {strings.Replace(templateFile, "0.7", "7", 1), account + "parameters = { spend = 5 }", `t.toml:5: templates.t.policy.quality: 7 is not in [0, 1]`},
		"key is not a digest":         {templateFile, strings.Replace(account, keyDigest, "secret", 1) + "parameters = { spend = 5 }", `a.toml:3: accounts.a.keys.0: is not a SHA-256 digest`},
		"account declared twice":      {templateFile + account, account + "parameters = { spend = 5 }", `accounts.a: is declared in another file too`},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			files := fstest.MapFS{
				"base.toml": {Data: []byte(baseFile)},
				"a.toml":    {Data: []byte(row.account)},
				"t.toml":    {Data: []byte(row.template)},
			}
			_, err := declarer.LoadFS(files, "d")
			if row.want == "" {
				if err != nil {
					t.Errorf("LoadFS() got error %v, want nil", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), row.want) {
				t.Errorf("LoadFS() got error %v, want %q", err, row.want)
			}
		})
	}
}

// TestMergeRuntimeStateKeepsRolloutsAndWithdrawals guards against an applied
// declaration that resets a rollout or puts a withdrawn version back in service:
// the files in version control don't have this state.
func TestMergeRuntimeStateKeepsRolloutsAndWithdrawals(t *testing.T) {
	version := func(withdrawn bool, generation uint64) *schema.Declaration {
		return &schema.Declaration{Models: map[string]*schema.Model{"m": {Versions: map[string]*schema.Version{"v": {Withdrawn: withdrawn, Generation: generation}}}}}
	}
	rows := map[string]struct {
		current, planned *schema.Declaration
		want             bool
	}{
		"withdrawn version stays withdrawn":   {version(true, 1), version(false, 1), true},
		"raised generation ends withdrawal":   {version(true, 1), version(false, 2), false},
		"version in service stays in service": {version(false, 0), version(false, 0), false},
		"planned withdrawal is applied":       {version(false, 0), version(true, 0), true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			row.current.Rollouts = map[string]*schema.Rollout{"r": {Stage: 2}}
			next := declarer.MergeRuntimeState(row.current, row.planned)
			if got := next.GetModels()["m"].GetVersions()["v"].GetWithdrawn(); got != row.want {
				t.Errorf("withdrawn got %v, want %v", got, row.want)
			}
			if got := next.GetRollouts()["r"].GetStage(); got != 2 {
				t.Errorf("stage got %d, want 2", got)
			}
		})
	}
}
