package web

import "sync"

// Switches holds the faults of a stand-in, which can be replaced at any time. The zero value is a healthy server. It
// is safe for concurrent use.
type Switches[F any] struct {
	mutex    sync.Mutex
	faults   F
	replaced chan struct{}
}

// SetFaults replaces all switches.
func (s *Switches[F]) SetFaults(faults F) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if s.replaced != nil {
		close(s.replaced)
		s.replaced = nil
	}
}

// CurrentFaults returns the switches.
func (s *Switches[F]) CurrentFaults() F {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Watch returns the switches and a channel that is closed when they are replaced.
func (s *Switches[F]) Watch() (F, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replaced == nil {
		s.replaced = make(chan struct{})
	}
	return s.faults, s.replaced
}

// Spend counts one down of the faults that come a number of times, and reports whether one was left.
func (s *Switches[F]) Spend(count func(*F) *int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := count(&s.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
