package ticket

import (
	"errors"
	"strings"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

func TestNewTicketsRoundTrip(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		made := New("zone-a", 7, 3)
		read, err := Parse(made.String())
		if err != nil || read != made || seen[made.Nonce] {
			t.Fatalf("%v reads back as %v, %v", made, read, err)
		}
		seen[made.Nonce] = true
	}
}

func TestParseRejectsInvalidTickets(t *testing.T) {
	for _, text := range []string{
		"", "t1", "t1.a.1.1", "t1.a.1.1.", "t1..1.1.n", "t2.a.1.1.n", "t1.a.01.1.n", "t1.a.+1.1.n", "t1.a.-1.1.n",
		"t1.a.1.x.n", "t1.a.18446744073709551616.1.n", "t1.a.1.1.n.m", " t1.a.1.1.n", "t1.a.1.1." + strings.Repeat("n", MaxBytes),
	} {
		_, err := Parse(text)
		var p *problem.Problem
		if !errors.As(err, &p) || p.Code != problem.TicketInvalid || p.Verdict != problem.NotRun || p.Remedy == "" {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzParse checks that every accepted text is the canonical form of its
// ticket, and that the length of refusals is bounded.
func FuzzParse(f *testing.F) {
	for _, text := range []string{New("a", 1, 1).String(), "t1.a.1.1.n", "t1.a.01.1.n", "t1...1.1.n", "t1.\xff.1.1.\x00", strings.Repeat(".", 200)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		read, err := Parse(text)
		if err != nil {
			if len(err.Error()) > 6*MaxBytes {
				t.Errorf("the refusal has %d bytes", len(err.Error()))
			}
			return
		}
		if read.String() != text || read.AvailabilityZone == "" || read.Nonce == "" || len(text) > MaxBytes {
			t.Errorf("%q reads as %+v", text, read)
		}
	})
}
