package record

import (
	"fmt"

	"github.com/pkg/errors"
)

// VoidKind says by which rule a record in the log has no effect.
type VoidKind string

// Kinds of void records.
const (
	// VoidUndecodable marks bytes that aren't a record of a known kind.
	VoidUndecodable VoidKind = "undecodable"
	// VoidDuplicate marks a retried append that already stands in the log.
	VoidDuplicate VoidKind = "duplicate"
	// VoidLate marks a record that took longer than SeenWindow offsets.
	VoidLate VoidKind = "late"
	// VoidEpoch marks a record of a holder that another claim has replaced.
	VoidEpoch VoidKind = "old epoch"
	// VoidClaim marks a claim or renewal that another one has preceded.
	VoidClaim VoidKind = "claim lost"
	// VoidConflict marks a configuration that another one has preceded.
	VoidConflict VoidKind = "version conflict"
	// VoidInvalid marks contents that break a rule of their own.
	VoidInvalid VoidKind = "invalid"
	// VoidBalance marks a transfer of more than its giver has.
	VoidBalance VoidKind = "balance too small"
	// VoidBaseUnknown marks a record that a reader can't judge, because it
	// started behind the trim and has not yet found a snapshot.
	VoidBaseUnknown VoidKind = "base unknown"
)

// Void is the error that explains why a record has no effect.
type Void struct {
	Kind VoidKind
	// Detail says what was found and what to do about it.
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

// IsDuplicate reports whether err says that what a record asks for stands in
// the log already.
func IsDuplicate(err error) bool {
	var v *Void
	return errors.As(err, &v) && v.Kind == VoidDuplicate
}
