package harness

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// crashMarkers begin the lines that the Go runtime writes on a crash or a data
// race.
var crashMarkers = []string{"WARNING: DATA RACE", "panic:", "fatal error:"}

// crashExcerptBytes is the maximum length of the quotation from a log in a test
// failure.
const crashExcerptBytes = 4000

// reportCrashes fails the test if the output of a process contains a panic, a
// fatal error or a data race.
func (c *Cell) reportCrashes(t testing.TB) {
	logs, err := filepath.Glob(c.path("*.out"))
	if err != nil {
		t.Error(err)
	}
	for _, file := range logs {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, mark := range crashMarkers {
			if i := bytes.Index(text, []byte("\n"+mark)); i >= 0 {
				t.Errorf("%s: %s", filepath.Base(file), text[i:min(i+crashExcerptBytes, len(text))])
			}
		}
	}
}
