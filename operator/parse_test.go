package operator

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func mustPrint(t testing.TB, c *Config) string {
	t.Helper()
	text, err := Print(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestParseErrorsNameSectionKeyAndLine(t *testing.T) {
	tests := map[string]struct {
		old, new string
		kind     ErrorKind
		section  string
		key      string
	}{
		"unknown section":     {"[zone \"quimper-1\"]", "[zones \"quimper-1\"]", KindUnknownSection, `zones "quimper-1"`, ""},
		"unknown key":         {"upper_limit = 40", "upper_limit = 40\nlower_limit = 1", KindUnknownKey, `team "press"`, "lower_limit"},
		"unit on a count":     {"upper_limit = 40", "upper_limit = 40k", KindBadValue, `team "press"`, "upper_limit"},
		"duration, no unit":   {"deadline        = 30s", "deadline = 30", KindBadValue, `queue "labels"`, "deadline"},
		"duration, bad unit":  {"deadline        = 30s", "deadline = 30 sec", KindBadValue, `queue "labels"`, "deadline"},
		"not a boolean":       {"drain  = false", "drain = yes", KindBadValue, `zone "quimper-1"`, "drain"},
		"zero for a default":  {"max_waiting     = 1000", "max_waiting = 0", KindRange, `queue "labels"`, "max_waiting"},
		"number too large":    {"upper_limit = 40", "upper_limit = 99999999999999999999", KindBadValue, `team "press"`, "upper_limit"},
		"key twice":           {"upper_limit = 40", "upper_limit = 40\nupper_limit = 40", KindDuplicateKey, `team "press"`, "upper_limit"},
		"key missing":         {"upper_limit = 40\n", "", KindMissingKey, `team "press"`, "upper_limit"},
		"section twice":       {"[team \"sales\"]", "[team \"press\"]", KindDuplicateSection, `team "press"`, ""},
		"broken rule":         {"upper_limit = 40", "upper_limit = -1", KindRange, `team "press"`, "upper_limit"},
		"not a line of INI":   {"upper_limit = 40", "upper_limit 40", KindSyntax, "", ""},
		"section not closed":  {"[team \"sales\"]", "[team \"sales\"", KindSyntax, "", ""},
		"section after end":   {"[end]\nsections = 7", "[end]\nsections = 7\n[zone \"b\"]\nregion = b", KindUnknownSection, `zone "b"`, ""},
		"no end":              {"[end]\nsections = 7", "", KindTruncated, "", ""},
		"wrong count":         {"sections = 7", "sections = 8", KindTruncated, "end", "sections"},
		"no count":            {"sections = 7", "", KindMissingKey, "end", "sections"},
		"key outside section": {"[zone \"quimper-1\"]", "x = 1\n[zone \"quimper-1\"]", KindUnknownKey, "", "x"},
	}
	text := mustPrint(t, sampleConfig())
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(text, test.old) {
				t.Fatalf("the sample lacks %q", test.old)
			}
			_, err := Parse(strings.Replace(text, test.old, test.new, 1))
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("got %v, want an error", err)
			}
			found := findError(errs, test.kind, test.section, test.key)
			if found == nil {
				t.Fatalf("got %v, want %s at %s %s", errs, test.kind, test.section, test.key)
			}
			if found.Line == 0 && strings.Contains(test.new, "=") {
				t.Errorf("%v has no line number", found)
			}
			if found.Rule == "" || found.Remedy == "" {
				t.Errorf("%v lacks a rule or a remedy", found)
			}
		})
	}
}

func findError(errs Errors, kind ErrorKind, section, key string) *Error {
	for _, e := range errs {
		if e.Kind == kind && e.Section == section && e.Key == key {
			return e
		}
	}
	return nil
}

func TestParseRejectsTruncatedText(t *testing.T) {
	text := strings.TrimRight(mustPrint(t, sampleConfig()), "\n")
	for n := range len(text) {
		if _, err := Parse(text[:n]); err == nil {
			t.Fatalf("accepted the first %d of %d bytes", n, len(text))
		}
	}
	if _, err := Parse(text); err != nil {
		t.Fatal(err)
	}
}

func TestParseRejectsOversizeText(t *testing.T) {
	_, err := Parse(strings.Repeat("#", MaxTextBytes+1))
	requireOneError(t, err, KindTooLarge, "", "")
}

func TestParseFillsInDefaults(t *testing.T) {
	c, err := Parse("[zone \"a\"]\nregion = r\n[queue \"q\"]\n[end]\nsections = 2\n")
	if err != nil {
		t.Fatal(err)
	}
	want := Queue{
		Name:           "q",
		Class:          DefaultClass,
		Spill:          DefaultSpill,
		Deadline:       DefaultDeadline,
		MaxWaiting:     DefaultMaxWaiting,
		StartObjective: DefaultStartObjective,
		StartTarget:    DefaultStartTarget,
	}
	if !reflect.DeepEqual(c.Queues[0], want) {
		t.Errorf("got %+v, want %+v", c.Queues[0], want)
	}
}

func TestPrintCommentsKeyGrace(t *testing.T) {
	c := sampleConfig()
	c.Queues[0].KeyGrace = DefaultDeadline
	want := "# A withdrawn key may go on working for 30s in a zone that is cut off.\nkey_grace       = 30s\n"
	if text := mustPrint(t, c); !strings.Contains(text, want) {
		t.Errorf("the text lacks %q:\n%s", want, text)
	}
}

func FuzzParse(f *testing.F) {
	text := mustPrint(f, sampleConfig())
	f.Add(text)
	f.Add(text[:len(text)/2])
	f.Add("[end]\nsections = 0\n")
	f.Add("[zone \"a\"]\nregion = `r`\n[end]\nsections = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		printed, err := Print(c)
		if err != nil {
			t.Fatalf("Print refused what Parse accepted: %v", err)
		}
		again, err := Parse(printed)
		if err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("round trip: %v\n%+v\n%+v", err, again, c)
		}
	})
}
