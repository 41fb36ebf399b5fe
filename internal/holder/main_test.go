package holder

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the model tests, so that they run the same schedules every
// time, unless -rapid.seed gives another one.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "200", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
