// Package zone holds the state of an availability zone that every reader
// derives from the platform's log: the claim of its holder and the roster of
// its endpoints. The types are not safe for concurrent use.
package zone

import (
	"github.com/bluebellstile/bluebellstile/internal/record"
)

// Claim is the current valid claim on a zone. It makes a daemon the zone's
// holder, which alone schedules tasks there, for one epoch.
type Claim struct {
	Zone string
	// Epoch is the offset of the claim's record in the log. It serves as the
	// fencing token of the holder's records and commands. Offsets only
	// increase, independently of log retention.
	Epoch uint64
	// Previous is the epoch that this claim replaced, 0 for the first claim.
	Previous uint64
	// Holder identifies the daemon and its incarnation, and Address is where
	// it serves.
	Holder  string
	Address string
}

// ClaimChain validates the claims on one zone in log order. Each valid claim
// refers to the one before it; only the last is stored.
//
// A claim is valid if its Previous is the current epoch at its position in the
// log, or 0 if there is no current epoch. Of several claims with the same
// Previous, the first in log order wins and the others are void. A renewal (a
// claim with Base set) is valid if Base is the current epoch and Holder and
// Address are those of the current claim. It changes nothing.
//
// Both rules need the current epoch. A reader that starts after the first
// records were trimmed from the log can't derive it: a claim whose Previous it
// never saw may be valid or void. Such a reader has no chain until a snapshot
// supplies the claim at some offset and the reader has every record after that
// offset. Package cell keeps the records and replays them from there. The
// result is exactly the chain of a reader from offset 1.
type ClaimChain struct {
	zone    string
	current Claim
}

// NewClaimChain returns the chain of a zone that was never claimed.
func NewClaimChain(zoneName string) *ClaimChain {
	return &ClaimChain{zone: zoneName}
}

// RestoreClaimChain restores a chain from the current claim in a snapshot.
func RestoreClaimChain(c *record.Claim) *ClaimChain {
	return &ClaimChain{
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
func (c *ClaimChain) Current() (claim Claim, ok bool) {
	return c.current, c.current.Epoch != 0
}

// Epoch returns the current epoch, 0 if the zone was never claimed.
func (c *ClaimChain) Epoch() uint64 {
	return c.current.Epoch
}

// Apply validates the claim at offset and makes it the current one unless it is
// a renewal. A returned error is a *record.Void.
func (c *ClaimChain) Apply(offset uint64, claim *record.Claim) error {
	if claim.Zone != c.zone || claim.Zone == "" || claim.Holder == "" {
		return record.NewVoid(record.VoidInvalid, "the claim has no holder or names another zone; set the zone and the holder")
	}
	if claim.Base != 0 {
		return c.renew(claim)
	}
	if claim.Previous != c.current.Epoch {
		return record.NewVoid(record.VoidClaim, "the claim expects epoch %d but epoch %d is current; read the log and claim again if the current holder is gone",
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

// renew validates a renewal, which doesn't change the state.
func (c *ClaimChain) renew(claim *record.Claim) error {
	if claim.Base != c.current.Epoch {
		return record.NewVoid(record.VoidClaim, "the renewal is for epoch %d but epoch %d is current; stop placing tasks in the zone", claim.Base, c.current.Epoch)
	}
	if claim.Holder != c.current.Holder || claim.Address != c.current.Address {
		return record.NewVoid(record.VoidClaim, "epoch %d belongs to holder %s at %s; only that holder can renew it",
			claim.Base, c.current.Holder, c.current.Address)
	}
	return nil
}

// CheckEpoch returns a *record.Void as error unless epoch is the current epoch
// of a claimed zone.
func (c *ClaimChain) CheckEpoch(epoch uint64) error {
	if epoch == c.current.Epoch && epoch != 0 {
		return nil
	}
	return record.NewVoid(record.VoidEpoch, "the record has epoch %d but epoch %d is current; stop placing tasks in the zone", epoch, c.current.Epoch)
}

// Snapshot returns the current claim in the form that RestoreClaimChain
// expects, or nil if there is none.
func (c *ClaimChain) Snapshot() *record.Claim {
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
