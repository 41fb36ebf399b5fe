package record

import (
	"fmt"

	"github.com/pkg/errors"
)

// VoidKind is the reason why a record in the log has no effect.
type VoidKind string

// Kinds of void records.
const (
	// VoidUndecodable marks bytes that aren't a record of a known kind.
	VoidUndecodable VoidKind = "undecodable"
	// VoidDuplicate marks a record that repeats an id or a ticket that is already
	// in the log.
	VoidDuplicate VoidKind = "duplicate"
	// VoidLate marks a record that is more than SeenWindow offsets after its
	// Seen offset.
	VoidLate VoidKind = "late"
	// VoidEpoch marks a record of a holder that a later claim has replaced, or a
	// record for a zone that was never claimed.
	VoidEpoch VoidKind = "old epoch"
	// VoidClaim marks a claim or renewal that lost to another claim before it in
	// the log.
	VoidClaim VoidKind = "claim lost"
	// VoidConflict marks a configuration that lost to another one before it in
	// the log.
	VoidConflict VoidKind = "version conflict"
	// VoidInvalid marks a record with invalid contents.
	VoidInvalid VoidKind = "invalid"
	// VoidBalance marks a transfer of more than the sending zone has.
	VoidBalance VoidKind = "balance too small"
	// VoidBaseUnknown marks a record that a reader can't evaluate because it
	// started after the log had been trimmed and has not yet found a snapshot.
	VoidBaseUnknown VoidKind = "base unknown"
)

// Void is the error that explains why a record has no effect.
type Void struct {
	Kind VoidKind
	// Detail describes the fault and the remedy.
	Detail string
}

// NewVoid returns a Void with a formatted detail.
func NewVoid(kind VoidKind, format string, args ...any) *Void {
	return &Void{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (v *Void) Error() string {
	return string(v.Kind) + ": " + v.Detail
}

// IsDuplicate reports whether err means that the log already holds what the
// record asks for.
func IsDuplicate(err error) bool {
	var v *Void
	return errors.As(err, &v) && v.Kind == VoidDuplicate
}
