package admission

import (
	"cmp"
	"slices"
)

// claim is what one organisation asks of a capacity.
type claim struct {
	weight float64
	demand float64
	// part is what it gets; limited says that this is less than it asks.
	part    float64
	limited bool
}

// divide shares the capacity by weight: nobody gets more than it asks, and what one leaves goes to
// the others in proportion to their weights (max-min fairness).
func divide(capacity float64, claims []*claim) {
	order := slices.Clone(claims)
	slices.SortFunc(order, func(a, b *claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weight := 0.0
	for _, c := range order {
		weight += c.weight
	}
	for _, c := range order {
		part := capacity * c.weight / weight
		c.limited = c.demand > part
		c.part = part
		capacity -= min(part, c.demand)
		weight -= c.weight
	}
}
