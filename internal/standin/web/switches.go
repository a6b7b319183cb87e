package web

import "sync"

// FaultInjector holds the injected faults of a stand-in. The zero value has no faults. It is safe for concurrent use.
type FaultInjector[F any] struct {
	mutex   sync.Mutex
	faults  F
	changed chan struct{}
}

// SetFaults replaces all faults.
func (s *FaultInjector[F]) SetFaults(faults F) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// CurrentFaults returns the current faults.
func (s *FaultInjector[F]) CurrentFaults() F {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Watch returns the current faults and a channel that is closed when they are replaced.
func (s *FaultInjector[F]) Watch() (F, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.faults, s.changed
}

// Consume decrements the counter of a fault that applies a limited number of times. It returns false if the counter was already 0.
func (s *FaultInjector[F]) Consume(count func(*F) *int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := count(&s.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}
