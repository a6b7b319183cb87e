package admission

import (
	"cmp"
	"slices"
)

// claim is one organisation's claim to a part of a capacity.
type claim struct {
	weight float64
	// demand is the cost per second that the organisation sends.
	demand float64
	// allocated is the part of the capacity that it gets; limited is set if that is less than its demand.
	allocated float64
	limited   bool
}

// divide allocates the capacity by weight (max-min fairness): what one claim doesn't use goes to the others in
// proportion to their weights. The allocation of a claim that isn't limited may exceed its demand.
func divide(capacity float64, claims []*claim) {
	order := slices.Clone(claims)
	slices.SortFunc(order, func(a, b *claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weight := 0.0
	for _, c := range order {
		weight += c.weight
	}
	for _, c := range order {
		allocated := capacity * c.weight / weight
		c.limited = c.demand > allocated
		c.allocated = allocated
		capacity -= min(allocated, c.demand)
		weight -= c.weight
	}
}
