package team

import (
	"cmp"
	"slices"
)

// ZonesByBalance returns the zones with a positive balance, largest balance
// first, with ties broken by name.
func ZonesByBalance(balances map[string]int64) []string {
	zones := make([]string, 0, len(balances))
	for zone, balance := range balances {
		if balance > 0 {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(balances[b], balances[a]), cmp.Compare(a, b))
	})
	return zones
}
