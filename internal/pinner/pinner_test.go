package pinner_test

import (
	"strings"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
)

var version = compiler.VersionID{Model: "m", Version: "v"}

// TestToken guards against accepting a token that was signed for another account
// or with an unknown key, or that was modified, and against rejecting tokens after
// a key rotation.
func TestToken(t *testing.T) {
	signer := pinner.NewSigner([]byte("key"))
	token := signer.Sign("account", "talk.1", version)
	rows := map[string]struct {
		signer         *pinner.Signer
		account, token string
		ok             bool
	}{
		"valid":                       {signer, "account", token, true},
		"for another account":         {signer, "other", token, false},
		"signed with an older key":    {pinner.NewSigner([]byte("new"), []byte("key")), "account", token, true},
		"signed with an unknown key":  {pinner.NewSigner([]byte("other")), "account", token, false},
		"with a modified payload":     {signer, "account", strings.Replace(token, ".", ".x", 2), false},
		"truncated":                   {signer, "account", token[:len(token)-1], false},
		"prefix only":                 {signer, "account", "qc1.", false},
		"with another format version": {signer, "account", strings.Replace(token, "qc1", "qc2", 1), false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			conversation, got, err := row.signer.Open(row.account, row.token)
			if (err == nil) != row.ok {
				t.Fatalf("Open() got error %v, want success: %v", err, row.ok)
			}
			if row.ok && (conversation != "talk.1" || got != version) {
				t.Errorf("Open() got %q, %v, want talk.1, %v", conversation, got, version)
			}
		})
	}
}

// FuzzToken guards against accepting an arbitrary text, or a second encoding of
// the same content, as a token: a token that Open accepts must be the one that
// Sign returns.
func FuzzToken(f *testing.F) {
	signer := pinner.NewSigner([]byte("key"))
	f.Add(signer.Sign("account", "c", version))
	f.Fuzz(func(t *testing.T, token string) {
		conversation, got, err := signer.Open("account", token)
		if err == nil && signer.Sign("account", conversation, got) != token {
			t.Errorf("Open(%q) got a conversation whose token differs, want an error or the same token", token)
		}
	})
}

// TestTable guards against a conversation that changes its version without
// reason, against a version that is replaced more than once, and against a table
// that grows over its limit.
func TestTable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	key := pinner.Key{Account: "a", Conversation: "c"}
	rows := map[string]struct {
		steps func(table *pinner.Table) string
		want  string
	}{
		"the first version is kept": {func(p *pinner.Table) string { p.Pin(key, "m@1", "", now); return p.Pin(key, "m@2", "", now) }, "m@1"},
		"a lookup sets no pin":      {func(p *pinner.Table) string { p.Pin(key, "", "", now); return p.Pin(key, "", "", now) }, ""},
		"an unused pin expires": {func(p *pinner.Table) string {
			p.Pin(key, "m@1", "", now)
			return p.Pin(key, "m@2", "", now.Add(2*time.Hour))
		}, "m@2"},
		"the given version is replaced": {func(p *pinner.Table) string { p.Pin(key, "m@1", "", now); return p.Pin(key, "m@2", "m@1", now) }, "m@2"},
		"a replaced version is replaced only once": {func(p *pinner.Table) string {
			p.Pin(key, "m@1", "", now)
			p.Pin(key, "m@2", "m@1", now)
			return p.Pin(key, "m@3", "m@1", now)
		}, "m@2"},
		"a full table evicts a pin": {func(p *pinner.Table) string {
			for _, name := range []string{"x", "y", "z"} {
				p.Pin(pinner.Key{Account: "a", Conversation: name}, "m@1", "", now)
			}
			if p.Len() != 2 {
				return "more than 2 pins"
			}
			return p.Pin(key, "m@2", "", now)
		}, "m@2"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := row.steps(pinner.NewTable(time.Hour, 2)); got != row.want {
				t.Errorf("version got %q, want %q", got, row.want)
			}
		})
	}
}
