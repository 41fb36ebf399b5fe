package claimant

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and other defaults for the property tests, so that
// they are reproducible, unless the flags are set.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "8", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
