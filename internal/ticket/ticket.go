// Package ticket defines the ids by which a caller's request is known over
// retries and entry instances.
package ticket

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strconv"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// Ticket binds a request to the zone, and to the term of its holder, that may
// run it. A non-idempotent request never runs under another term.
type Ticket struct {
	AvailabilityZone string
	Epoch            uint64
	// Generation is the holder's ticket generation when the ticket was made.
	// A holder remembers the tickets of its recent generations only.
	Generation uint64
	Nonce      string
}

const (
	prefix     = "t1"
	fieldCount = 5
	nonceBytes = 10
	// MaxBytes bounds the text of a ticket.
	MaxBytes = 160
)

var encoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// New returns a ticket with a random nonce.
func New(zone string, epoch, generation uint64) Ticket {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	nonce := strings.ToLower(encoding.EncodeToString(b[:]))
	return Ticket{AvailabilityZone: zone, Epoch: epoch, Generation: generation, Nonce: nonce}
}

// String is the text form, which Parse reads.
func (t Ticket) String() string {
	return fmt.Sprintf("%s.%s.%d.%d.%s", prefix, t.AvailabilityZone, t.Epoch, t.Generation, t.Nonce)
}

// Parse reads the text form.
func Parse(text string) (Ticket, error) {
	fields := strings.Split(text, ".")
	if len(text) > MaxBytes || len(fields) != fieldCount || fields[0] != prefix {
		return Ticket{}, invalid(text)
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Ticket{}, invalid(text)
	}
	generation, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil || fields[1] == "" || fields[4] == "" {
		return Ticket{}, invalid(text)
	}
	t := Ticket{AvailabilityZone: fields[1], Epoch: epoch, Generation: generation, Nonce: fields[4]}
	if t.String() != text {
		return Ticket{}, invalid(text)
	}
	return t, nil
}

// invalid is the refusal of a text that is no ticket.
func invalid(text string) error {
	shown := text
	if len(shown) > MaxBytes {
		shown = shown[:MaxBytes]
	}
	return problem.Refuse(problem.TicketInvalid, "get a ticket from POST /v1/tickets", "%q is not a ticket", shown)
}
