package team

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the model tests, so that they give the same
// verdict every time, unless one is named by -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
