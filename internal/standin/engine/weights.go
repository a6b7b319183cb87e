package engine

import (
	"maps"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// maxPrefetched is how many versions the memory holds beside the one in use.
const maxPrefetched = 2

// weights are the versions in memory and the orders about them.
type weights struct {
	version    int
	prefetched map[int]bool
	fencing    platform.Version
	orders     []backendserver.WeightOrder
	refused    int
}

func newWeights(version int) weights {
	return weights{version: version, prefetched: make(map[int]bool)}
}

// accept returns false for an order whose fencing number is older than one already seen.
func (w *weights) accept(order backendserver.WeightOrder, ignoreFencing bool) bool {
	if order.Fencing < w.fencing && !ignoreFencing {
		w.refused++
		return false
	}
	w.fencing = max(w.fencing, order.Fencing)
	w.orders = append(w.orders, order)
	return true
}

func (w *weights) has(version int) bool {
	return version == w.version || w.prefetched[version]
}

// apply puts the loaded version into memory, or into use.
func (w *weights) apply(order backendserver.WeightOrder) {
	if order.Version == w.version {
		return
	}
	if order.Kind == backendserver.OrderSwitch {
		delete(w.prefetched, order.Version)
		w.version = order.Version
		return
	}
	w.prefetched[order.Version] = true
	if len(w.prefetched) > maxPrefetched {
		delete(w.prefetched, w.loaded()[0])
	}
}

// loaded returns the versions beside the one in use, sorted.
func (w *weights) loaded() []int {
	return slices.Sorted(maps.Keys(w.prefetched))
}
