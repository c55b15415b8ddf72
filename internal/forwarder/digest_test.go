package forwarder

import "testing"

// TestContentDigest guards against two requests that are taken for one, for example those of two
// accounts, and against one that is not known when it comes again.
func TestContentDigest(t *testing.T) {
	first := digestContent("POST", "api.example", "/book/a?n=1", "rota-office", []byte("body"))
	rows := map[string]struct {
		digest uint64
		same   bool
	}{
		"comes again":             {digestContent("POST", "api.example", "/book/a?n=1", "rota-office", []byte("body")), true},
		"host in capitals":        {digestContent("POST", "API.example", "/book/a?n=1", "rota-office", []byte("body")), true},
		"other method":            {digestContent("PUT", "api.example", "/book/a?n=1", "rota-office", []byte("body")), false},
		"other host":              {digestContent("POST", "www.example", "/book/a?n=1", "rota-office", []byte("body")), false},
		"other path":              {digestContent("POST", "api.example", "/book/b?n=1", "rota-office", []byte("body")), false},
		"other query":             {digestContent("POST", "api.example", "/book/a?n=2", "rota-office", []byte("body")), false},
		"other account":           {digestContent("POST", "api.example", "/book/a?n=1", "depot", []byte("body")), false},
		"no account":              {digestContent("POST", "api.example", "/book/a?n=1", "", []byte("body")), false},
		"other body":              {digestContent("POST", "api.example", "/book/a?n=1", "rota-office", []byte("bodx")), false},
		"fields cut elsewhere":    {digestContent("POST", "api.example", "/book/a?n=1rota", "-office", []byte("body")), false},
		"body begins in a header": {digestContent("POST", "api.example", "/book/a?n=1", "rota-officeb", []byte("ody")), false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if got := row.digest == first; got != row.same {
				t.Errorf("digests are equal got %v, want %v", got, row.same)
			}
		})
	}
}
