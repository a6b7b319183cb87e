package web

import "sync"

// FaultInjector holds the injected faults of a stand-in. The zero value has no faults. It is safe for concurrent use.
type FaultInjector[F any] struct {
	mutex   sync.Mutex
	faults  F
	changed chan struct{}
}

// SetFaults replaces all faults.
func (f *FaultInjector[F]) SetFaults(faults F) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// CurrentFaults returns the current faults.
func (f *FaultInjector[F]) CurrentFaults() F {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

// Watch returns the current faults and a channel that is closed when they are replaced.
func (f *FaultInjector[F]) Watch() (F, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.faults, f.changed
}

// Consume decrements the counter of a fault that applies a limited number of times. It returns false if the counter was already 0.
func (f *FaultInjector[F]) Consume(count func(*F) *int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	remaining := count(&f.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}
