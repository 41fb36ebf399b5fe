package operator

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestParseOfPrintReturnsCanonicalForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		text, err := Print(c)
		if err != nil {
			t.Fatalf("Print: %v", err)
		}
		got, err := Parse(text)
		if err != nil {
			t.Fatalf("Parse: %v\n%s", err, text)
		}
		if want := c.Canonical(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v\nwant %+v", got, want)
		}
		again, err := Print(got)
		if err != nil || again != text {
			t.Fatalf("printing again differs (%v):\n%s\n%s", err, text, again)
		}
	})
}
