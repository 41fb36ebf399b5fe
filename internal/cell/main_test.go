package cell

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the model tests, so that they are
// reproducible, unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
