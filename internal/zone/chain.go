// Package zone holds the state of an availability zone that every reader
// derives from the platform's log: its claim and its roster of endpoints.
// The types are not safe for concurrent use.
package zone

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Claim is the claim on a zone that is valid at present.
type Claim struct {
	Zone string
	// Epoch is the offset of the claim's record. It grows for ever, whatever
	// retention has dropped, and fences the holder's records and commands.
	Epoch uint64
	// Previous is the epoch that the claim ended, 0 if it was the first.
	Previous uint64
	Holder   string
	Address  string
}

// Chain is the chain of valid claims on one zone, of which it keeps the last.
//
// A claim is valid if its Previous is the current epoch where it stands, or 0
// if there is none: of several that name the same Previous, the first in log
// order wins and the others are void. A renewal (Base set) is valid if Base
// is the current epoch and Holder and Address are the current ones; it
// changes nothing.
//
// Both rules need the current epoch, which a reader that starts behind the
// trim can't derive from the records that are left: a claim whose Previous it
// never saw may be valid or void. Such a reader has no chain until a snapshot
// gives it the claim at an offset from which on it has read every record;
// package cell holds the records back and replays them from there. It then
// has the same chain as a reader from offset 1, not a guess at it.
type Chain struct {
	zone    string
	current Claim
}

// NewChain returns the chain of a zone that nobody has claimed.
func NewChain(zoneName string) *Chain {
	return &Chain{zone: zoneName}
}

// RestoreChain returns the chain whose current claim a snapshot gives.
func RestoreChain(c *record.Claim) *Chain {
	return &Chain{
		zone: c.Zone,
		current: Claim{
			Zone:     c.Zone,
			Epoch:    c.Base,
			Previous: c.Previous,
			Holder:   c.Holder,
			Address:  c.Address,
		},
	}
}

// Current returns the current claim; ok is false if there is none.
func (c *Chain) Current() (claim Claim, ok bool) {
	return c.current, c.current.Epoch != 0
}

// Epoch returns the current epoch, 0 if the zone was never claimed.
func (c *Chain) Epoch() uint64 {
	return c.current.Epoch
}

// Apply applies the claim at offset; an error is a *record.Void.
func (c *Chain) Apply(offset uint64, claim *record.Claim) error {
	if claim.Zone != c.zone || claim.Zone == "" || claim.Holder == "" {
		return record.NewVoid(record.VoidInvalid, "the claim names no zone or no holder; set both")
	}
	if claim.Base != 0 {
		return c.renew(claim)
	}
	if claim.Previous != c.current.Epoch {
		return record.NewVoid(record.VoidClaim, "the claim expects epoch %d but %d is current; read the log and claim again if that holder is gone",
			claim.Previous, c.current.Epoch)
	}
	c.current = Claim{
		Zone:     c.zone,
		Epoch:    offset,
		Previous: claim.Previous,
		Holder:   claim.Holder,
		Address:  claim.Address,
	}
	return nil
}

// renew checks a renewal, which changes nothing.
func (c *Chain) renew(claim *record.Claim) error {
	if claim.Base != c.current.Epoch {
		return record.NewVoid(record.VoidClaim, "the renewal names epoch %d but %d is current; stop placing in the zone", claim.Base, c.current.Epoch)
	}
	if claim.Holder != c.current.Holder || claim.Address != c.current.Address {
		return record.NewVoid(record.VoidClaim, "epoch %d belongs to %s at %s; only its holder can renew it",
			claim.Base, c.current.Holder, c.current.Address)
	}
	return nil
}

// Check returns an error, a *record.Void, unless epoch is the current one.
func (c *Chain) Check(epoch uint64) error {
	if epoch == c.current.Epoch && epoch != 0 {
		return nil
	}
	return record.NewVoid(record.VoidEpoch, "the record is of epoch %d but %d is current; stop placing in the zone", epoch, c.current.Epoch)
}

// Snapshot returns the current claim in the form that RestoreChain takes, or
// nil if there is none.
func (c *Chain) Snapshot() *record.Claim {
	if c.current.Epoch == 0 {
		return nil
	}
	return &record.Claim{
		Zone:     c.zone,
		Holder:   c.current.Holder,
		Address:  c.current.Address,
		Base:     c.current.Epoch,
		Previous: c.current.Previous,
	}
}
