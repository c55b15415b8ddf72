// Package repeater runs property-based tests with a fixed seed, so that their
// results in CI are reproducible.
package repeater

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// fixedSeed is the seed of all property-based tests.
const fixedSeed = "20261204"

// setFixedSeed sets rapid's seed. Rapid takes its seed only from a command-line
// flag, which go test rejects for packages that do not import rapid, so the flag
// is set here. A seed given on the command line is kept.
var setFixedSeed = sync.OnceValue(func() error {
	seedFlag := flag.Lookup("rapid.seed")
	if seedFlag != nil && seedFlag.Value.String() != seedFlag.DefValue {
		return nil
	}
	return flag.Set("rapid.seed", fixedSeed)
})

// Check runs a property-based test with the fixed seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if err := setFixedSeed(); err != nil {
		t.Fatalf("set flag rapid.seed: %v", err)
	}
	rapid.Check(t, property)
}
