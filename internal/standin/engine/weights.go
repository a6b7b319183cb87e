package engine

import (
	"maps"
	"slices"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// maxPrefetched is how many versions are kept in memory besides the one in use.
const maxPrefetched = 2

// weights holds the model versions in memory and the orders received about them.
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

// accept records the order. It returns false for an order whose fencing number is older than
// one already seen, unless fencing is ignored.
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

// apply puts a loaded version into use, or keeps it in memory as prefetched.
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
		delete(w.prefetched, w.prefetchedVersions()[0])
	}
}

// prefetchedVersions returns the prefetched versions, sorted.
func (w *weights) prefetchedVersions() []int {
	return slices.Sorted(maps.Keys(w.prefetched))
}
