package harness

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// crashMarks are what the Go runtime writes when a program breaks.
var crashMarks = []string{"WARNING: DATA RACE", "panic:", "fatal error:"}

// crashExcerpt is how much of a log a report quotes, in bytes.
const crashExcerpt = 4000

// reportCrashes fails the test if a process has panicked or raced.
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
		for _, mark := range crashMarks {
			if i := bytes.Index(text, []byte("\n"+mark)); i >= 0 {
				t.Errorf("%s: %s", filepath.Base(file), text[i:min(i+crashExcerpt, len(text))])
			}
		}
	}
}
