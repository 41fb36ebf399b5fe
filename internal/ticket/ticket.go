// Package ticket defines the ids that identify a caller's request across
// retries and across the daemons that receive them.
package ticket

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strconv"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// Ticket identifies a request and binds it to an availability zone and to one
// term, the period in which a daemon is the zone's holder and schedules its
// work. A non-idempotent request never runs under another term.
type Ticket struct {
	AvailabilityZone string
	// Epoch identifies the term.
	Epoch uint64
	// Generation is the holder's ticket generation when the ticket was issued.
	// A holder remembers the tickets of its recent generations only.
	Generation uint64
	Nonce      string
}

const (
	prefix     = "t1"
	fieldCount = 5
	nonceBytes = 10
	// MaxBytes bounds the length of a ticket's text form.
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

// String returns the text form, which Parse reads.
func (t Ticket) String() string {
	return fmt.Sprintf("%s.%s.%d.%d.%s", prefix, t.AvailabilityZone, t.Epoch, t.Generation, t.Nonce)
}

// Parse parses the text form. Its error is a *problem.Problem with the code
// TicketInvalid.
func Parse(text string) (Ticket, error) {
	fields := strings.Split(text, ".")
	if len(text) > MaxBytes || len(fields) != fieldCount || fields[0] != prefix {
		return Ticket{}, invalidTicket(text)
	}
	epoch, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Ticket{}, invalidTicket(text)
	}
	generation, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil || fields[1] == "" || fields[4] == "" {
		return Ticket{}, invalidTicket(text)
	}
	t := Ticket{AvailabilityZone: fields[1], Epoch: epoch, Generation: generation, Nonce: fields[4]}
	if t.String() != text {
		return Ticket{}, invalidTicket(text)
	}
	return t, nil
}

// invalidTicket returns the refusal of a text that is not a ticket. It quotes at
// most MaxBytes of the text.
func invalidTicket(text string) error {
	shown := text
	if len(shown) > MaxBytes {
		shown = shown[:MaxBytes]
	}
	return problem.Refuse(problem.TicketInvalid, "get a ticket from POST /v1/tickets", "%q is not a ticket", shown)
}
