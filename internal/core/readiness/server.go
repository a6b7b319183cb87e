package readiness

import (
	"slices"
	"time"
)

// Server is what a guard knows of one run of a server.
type Server struct {
	record    Record
	coldUntil time.Time
	// failures counts the connections in a row that failed.
	failures int
	// sent holds the times of the newest requests of this entry, oldest first, at most as many as the pool's limit.
	sent []time.Time
}

// newServer returns the state of a server that has no record yet. Previous is the state of its previous run under the same ID, or nil; the
// requests to it may arrive at the new run and therefore count.
func newServer(previous *Server) *Server {
	s := &Server{}
	if previous != nil {
		s.sent = slices.Clone(previous.sent)
	}
	return s
}

// apply replaces the record. A record that the server wrote since the last one says how long the server stays cold from now on at most; only
// an assumption that follows from a failed connection holds on beside it.
func (s *Server) apply(now time.Time, record Record) {
	if record.Revision != s.record.Revision || s.record.ID == "" {
		reported := now.Add(record.ColdLeft)
		if s.failures > 0 {
			reported = later(s.coldUntil, reported)
		}
		s.coldUntil = reported
	}
	s.record = record
}

func (s *Server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// window is the time in which the requests to a cold server are counted. It exceeds a second by the variation of the delay between two
// requests on their way.
const window = 1050 * time.Millisecond

// sentWithin returns the number of requests that were sent within the window.
func (s *Server) sentWithin(now time.Time) int {
	count := 0
	for _, at := range s.sent {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// recordSent records a request, and keeps the newest ones up to the limit.
func (s *Server) recordSent(now time.Time, limit int) {
	if excess := len(s.sent) - limit + 1; excess > 0 {
		s.sent = s.sent[:copy(s.sent, s.sent[excess:])]
	}
	s.sent = append(s.sent, now)
}
