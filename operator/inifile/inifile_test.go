package inifile

import (
	"errors"
	"testing"
)

const text = "# head\n[a]\nx = 1\nx = 1\n[b]\ny = 2\n\n[a]\nz = 3\n"

func TestLoadRecordsRepeatsAndLineNumbers(t *testing.T) {
	f, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	sections := f.Sections()
	if len(sections) != 4 || sections[1].Name() != "a" || sections[3].Name() != "a" {
		t.Fatalf("got %d sections", len(sections))
	}
	if !Repeated(sections[1], "x") || Repeated(sections[2], "y") {
		t.Error("repeated keys are not told from others")
	}
	lines := map[string][2]int{
		"first header":    {f.SectionLine("a", 0), 2},
		"second header":   {f.SectionLine("a", 1), 8},
		"third header":    {f.SectionLine("a", 2), 0},
		"repeated key":    {f.KeyLine("a", "x"), 4},
		"key":             {f.Line("b", "y"), 6},
		"missing key":     {f.Line("b", "q"), 5},
		"missing section": {f.Line("q", "q"), 0},
	}
	for name, line := range lines {
		if line[0] != line[1] {
			t.Errorf("%s: line %d, want %d", name, line[0], line[1])
		}
	}
}

func TestLoadReportsLineOfSyntaxError(t *testing.T) {
	_, err := Load("[a]\n\n  nonsense\n")
	var syntax *SyntaxError
	if !errors.As(err, &syntax) || syntax.Line != 3 {
		t.Errorf("got %v, want line 3", err)
	}
}
