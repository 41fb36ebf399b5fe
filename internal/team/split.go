// Package team divides the upper limit of each team over the availability
// zones. A zone's part is its allotment. The types are not safe for concurrent
// use.
package team

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// split divides amount evenly over the sorted zones:
//
//	share(i) = floor(amount/n) + 1 if (i - hash(team)) mod n < amount mod n
//
// The hash assigns the remainders of different teams to different zones, so
// that the small limits of several teams aren't all placed in the first zone.
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

// scaledBalance is a zone's balance after scaling, rounded down, and the
// remainder of the division.
type scaledBalance struct {
	zone      string
	balance   int64
	remainder uint64
}

// scaleDown reduces balances with the sum total proportionally to the sum
// target < total, by the largest remainder method:
//
//	scaled(z) = floor(balance(z)*target/total), or the ceiling for the zones
//	with the largest remainders, ties broken by zone name
//
// No balance increases: the ceiling is taken only where the quotient isn't
// whole, and the quotient is at most the balance.
func scaleDown(balances map[string]int64, total, target int64) {
	scaled := make([]scaledBalance, 0, len(balances))
	left := target
	for zone, balance := range balances {
		hi, lo := bits.Mul64(uint64(balance), uint64(target))
		quotient, remainder := bits.Div64(hi, lo, uint64(total))
		scaled = append(scaled, scaledBalance{zone: zone, balance: int64(quotient), remainder: remainder})
		left -= int64(quotient)
	}
	slices.SortFunc(scaled, func(a, b scaledBalance) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.zone, b.zone))
	})
	for i, p := range scaled {
		if int64(i) < left {
			p.balance++
		}
		balances[p.zone] = p.balance
	}
}
