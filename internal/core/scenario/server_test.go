package scenario

import (
	"math"
	"slices"
	"time"
)

const (
	// slotsPerServer is the number of requests that a server runs at full speed; more requests share its capacity equally.
	slotsPerServer = 8
	// slotSpeed is the speed of one request in tokens per second.
	slotSpeed = 50.0
	// prefixCacheSize is the number of prompt prefixes that a server keeps in its cache.
	prefixCacheSize = 64
)

// activeRequest is a request that a server is running.
type activeRequest struct {
	// remaining is the work left in tokens, including the prefill.
	remaining float64
	cost      float64
	// relativeSpeed is the speed compared with the other requests of the server; 1 except for stragglers.
	relativeSpeed float64
	// done is called at the end; ok is false if the server failed before the request was complete.
	done func(ok bool)
}

// server models a backend server in all simulations. Continuous batching is modelled as processor sharing: up to
// slotsPerServer requests run at full speed, and more requests slow each other down.
type server struct {
	clock *clock
	name  string
	// speed is a factor on slotSpeed; 0 stops the server.
	speed   float64
	up      bool
	running []*activeRequest
	// lastAdvance is the time up to which the work of the running requests is accounted for.
	lastAdvance time.Time
	// scheduleVersion identifies the latest completion event; earlier ones are outdated and ignored.
	scheduleVersion int
	// cachedPrefixes is ordered from the least to the most recently used.
	cachedPrefixes []uint64
}

func newServer(c *clock, name string) *server {
	return &server{clock: c, name: name, speed: 1, up: true, lastAdvance: c.now}
}

// rate returns the current speed of a request with relativeSpeed 1, in tokens per second.
func (s *server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.speed * slotSpeed * min(1, slotsPerServer/float64(len(s.running)))
}

// advance subtracts the work done since lastAdvance from the running requests.
func (s *server) advance() {
	work := s.rate() * s.clock.now.Sub(s.lastAdvance).Seconds()
	for _, r := range s.running {
		r.remaining -= work * r.relativeSpeed
	}
	s.lastAdvance = s.clock.now
}

// change applies a change of the state, which alters the speed of the requests, and reschedules the next completion.
func (s *server) change(apply func()) {
	s.advance()
	apply()
	s.scheduleCompletion()
}

// scheduleCompletion schedules an event for the next completion of a request and invalidates the previous one.
func (s *server) scheduleCompletion() {
	s.scheduleVersion++
	version := s.scheduleVersion
	rate := s.rate()
	if rate <= 0 {
		return
	}
	shortest := math.Inf(1)
	for _, r := range s.running {
		shortest = min(shortest, r.remaining/r.relativeSpeed)
	}
	wait := time.Duration(math.Ceil(max(0, shortest) / rate * float64(time.Second)))
	s.clock.after(wait, func() {
		if version == s.scheduleVersion {
			s.completeFinished()
		}
	})
}

// completeFinished removes the requests without remaining work and calls their done functions.
func (s *server) completeFinished() {
	var finished []*activeRequest
	s.change(func() {
		s.running = slices.DeleteFunc(s.running, func(r *activeRequest) bool {
			if r.remaining <= 1e-6 {
				finished = append(finished, r)
				return true
			}
			return false
		})
	})
	for _, r := range finished {
		r.done(true)
	}
}

// start runs a request of cost tokens. A prefix that isn't cached adds prefill tokens of work; prefix 0 means none.
func (s *server) start(cost float64, prefix uint64, prefill float64, done func(ok bool)) *activeRequest {
	r := &activeRequest{remaining: cost, cost: cost, relativeSpeed: 1, done: done}
	if prefix != 0 && !s.touchPrefix(prefix) {
		r.remaining += prefill
	}
	s.change(func() { s.running = append(s.running, r) })
	return r
}

// touchPrefix reports whether the prefix is cached, and makes it the most recently used one. A prefix that isn't cached
// is added; if the cache is full, the least recently used one is evicted.
func (s *server) touchPrefix(prefix uint64) bool {
	i := slices.Index(s.cachedPrefixes, prefix)
	if i >= 0 {
		s.cachedPrefixes = append(slices.Delete(s.cachedPrefixes, i, i+1), prefix)
		return true
	}
	s.cachedPrefixes = append(s.cachedPrefixes, prefix)
	if len(s.cachedPrefixes) > prefixCacheSize {
		s.cachedPrefixes = s.cachedPrefixes[1:]
	}
	return false
}

// startAtSpeed is start for a request with a relative speed of its own.
func (s *server) startAtSpeed(relativeSpeed, cost float64, prefix uint64, prefill float64, done func(ok bool)) *activeRequest {
	r := s.start(cost, prefix, prefill, done)
	r.relativeSpeed = relativeSpeed
	s.scheduleCompletion()
	return r
}

// generatedTokens returns how many tokens of a request have been generated so far.
func (s *server) generatedTokens(r *activeRequest) int {
	s.advance()
	return int(max(0, r.cost-r.remaining))
}

// cancel stops a request without calling its done function.
func (s *server) cancel(r *activeRequest) {
	s.change(func() {
		s.running = slices.DeleteFunc(s.running, func(other *activeRequest) bool { return other == r })
	})
}

// fail takes the server down, clears its cache and ends all its requests with ok set to false.
func (s *server) fail() {
	var interrupted []*activeRequest
	s.change(func() {
		interrupted, s.running, s.up, s.cachedPrefixes = s.running, nil, false, nil
	})
	for _, r := range interrupted {
		r.done(false)
	}
}

// setSpeed changes the speed factor of the server.
func (s *server) setSpeed(speed float64) { s.change(func() { s.speed = speed }) }
