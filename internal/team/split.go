// Package team divides the upper limit of each team over the availability
// zones. The types are not safe for concurrent use.
package team

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// split divides amount over the sorted zones:
//
//	share(i) = floor(amount/n) + 1 if (i - hash(team)) mod n < amount mod n
//
// The hash spreads the remainders of different teams over different zones, so
// that small limits don't all land in the first one.
func split(team string, amount int64, zones []string) map[string]int64 {
	n := int64(len(zones))
	shares := make(map[string]int64, n)
	start := int64(xxhash.Sum64String(team) % uint64(n))
	for i, zone := range zones {
		shares[zone] = amount / n
		if (int64(i)-start+n)%n < amount%n {
			shares[zone]++
		}
	}
	return shares
}

// portion is what shrink leaves of one balance.
type portion struct {
	zone      string
	balance   int64
	remainder uint64
}

// shrink lowers balances whose sum is total to the sum target < total by the
// method of largest remainders:
//
//	kept(z) = floor(balance(z)*target/total), or the ceiling for the zones
//	with the largest remainders, ties in the order of names
//
// No balance grows: the ceiling is taken only where the quotient isn't whole,
// and the quotient is at most the balance.
func shrink(balances map[string]int64, total, target int64) {
	portions := make([]portion, 0, len(balances))
	left := target
	for zone, balance := range balances {
		hi, lo := bits.Mul64(uint64(balance), uint64(target))
		quotient, remainder := bits.Div64(hi, lo, uint64(total))
		portions = append(portions, portion{zone: zone, balance: int64(quotient), remainder: remainder})
		left -= int64(quotient)
	}
	slices.SortFunc(portions, func(a, b portion) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.zone, b.zone))
	})
	for i, p := range portions {
		if int64(i) < left {
			p.balance++
		}
		balances[p.zone] = p.balance
	}
}
