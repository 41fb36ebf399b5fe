package placement

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the default seed of the property tests, which makes their
// results reproducible. The flag -rapid.seed overrides it.
const propertySeed = "20261"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
