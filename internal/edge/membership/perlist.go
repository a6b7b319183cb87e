package membership

import (
	"sync/atomic"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// PerList remembers what was worked out from a list of hosts for as long as the list is the same. Its zero value
// remembers nothing yet.
//
// Load pattern: each host looks several times a second which entries are relays or contenders, among 380 entries that
// change about once a minute. Ranking them anew each time took two thirds of the memory that an idle entry allocates, and with
// the collections that this made necessary a good part of its processor time.
type PerList[T any] struct {
	last atomic.Pointer[workedOut[T]]
}

// workedOut is what was worked out from one list. It holds on to the list, so that no other one can come to lie
// at the same place in memory and be taken for it.
type workedOut[T any] struct {
	hosts []platform.Host
	value T
}

// Of returns what work makes of the hosts. Neither the list, once published, nor the value may be changed. Callers
// that come at the same time may each do the work.
func (p *PerList[T]) Of(hosts []platform.Host, work func([]platform.Host) T) T {
	if last := p.last.Load(); last != nil && isSameList(last.hosts, hosts) {
		return last.value
	}
	next := &workedOut[T]{hosts: hosts, value: work(hosts)}
	p.last.Store(next)
	return next.value
}

// isSameList says whether both are the same list; lists of hosts never change once published.
func isSameList(a, b []platform.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
