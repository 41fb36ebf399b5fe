package main

import (
	"os"
	"reflect"
	"testing"

	"github.com/bluebellstile/bluebellstile/operator"
)

// TestPrintMatchesCellFile compares the printed configuration with cell.ini,
// which is kept for review. After an intended change, regenerate the file with:
// go run . > cell.ini
func TestPrintMatchesCellFile(t *testing.T) {
	want, err := os.ReadFile("cell.ini")
	if err != nil {
		t.Fatal(err)
	}
	got, err := operator.Print(configuration())
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("printed:\n%s\ncell.ini:\n%s", got, want)
	}
}

func TestConfigurationIsComplete(t *testing.T) {
	c := configuration()
	parsed, err := operator.Parse(mustPrint(t, c))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parsed, c.Canonical()) {
		t.Error("the parsed text differs from the configuration")
	}
	regions := map[string]bool{}
	for _, z := range c.Zones {
		regions[z.Region] = true
	}
	if len(c.Zones) != 3 || len(regions) != 3 || len(c.Teams) != 6 {
		t.Errorf("got %d zones in %d regions and %d teams", len(c.Zones), len(regions), len(c.Teams))
	}
	if warnings := operator.Warnings(c); len(warnings) > 0 {
		t.Error(warnings)
	}
}

func mustPrint(t *testing.T, c *operator.Config) string {
	t.Helper()
	text, err := operator.Print(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
