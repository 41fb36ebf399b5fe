package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run tests the same
// cases, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
