package scenario

import (
	"math"
	"slices"
	"time"
)

const (
	// knee is how many requests a server runs at full speed each; more of them share its capacity.
	knee = 8
	// slotSpeed is the tokens a second of one request.
	slotSpeed = 50.0
	// cacheSize is how many prefixes a server holds.
	cacheSize = 64
)

// run is one generation at a server.
type run struct {
	left float64
	cost float64
	// pace is its speed next to the others; 1 but for a straggler.
	pace float64
	done func(ok bool)
}

// server is the one model of a backend server: continuous batching as processor sharing above a knee.
type server struct {
	clock   *clock
	name    string
	speed   float64
	up      bool
	running []*run
	last    time.Time
	epoch   int
	cached  []uint64
}

func newServer(c *clock, name string) *server {
	return &server{clock: c, name: name, speed: 1, up: true, last: c.now}
}

func (s *server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.speed * slotSpeed * min(1, knee/float64(len(s.running)))
}

// advance takes the work done since the last change off the runs.
func (s *server) advance() {
	work := s.rate() * s.clock.now.Sub(s.last).Seconds()
	for _, r := range s.running {
		r.left -= work * r.pace
	}
	s.last = s.clock.now
}

func (s *server) change(apply func()) {
	s.advance()
	apply()
	s.schedule()
}

// schedule sets the event of the next completion.
func (s *server) schedule() {
	s.epoch++
	mine := s.epoch
	rate := s.rate()
	if rate <= 0 {
		return
	}
	least := math.Inf(1)
	for _, r := range s.running {
		least = min(least, r.left/r.pace)
	}
	wait := time.Duration(math.Ceil(max(0, least) / rate * float64(time.Second)))
	s.clock.after(wait, func() {
		if mine == s.epoch {
			s.complete()
		}
	})
}

func (s *server) complete() {
	var finished []*run
	s.change(func() {
		s.running = slices.DeleteFunc(s.running, func(r *run) bool {
			if r.left <= 1e-6 {
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

// start runs a request; a prefix that isn't cached costs prefill tokens more.
func (s *server) start(cost float64, prefix uint64, prefill float64, done func(ok bool)) *run {
	r := &run{left: cost, cost: cost, pace: 1, done: done}
	if prefix != 0 && !s.holds(prefix) {
		r.left += prefill
	}
	s.change(func() { s.running = append(s.running, r) })
	return r
}

// holds looks a prefix up and makes it the one used last.
func (s *server) holds(prefix uint64) bool {
	at := slices.Index(s.cached, prefix)
	if at >= 0 {
		s.cached = append(slices.Delete(s.cached, at, at+1), prefix)
		return true
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
	return false
}

// startAt runs a request at a pace of its own.
func (s *server) startAt(pace, cost float64, prefix uint64, prefill float64, done func(ok bool)) *run {
	r := s.start(cost, prefix, prefill, done)
	r.pace = pace
	s.schedule()
	return r
}

// tokens is how many tokens of a run exist.
func (s *server) tokens(r *run) int {
	s.advance()
	return int(max(0, r.cost-r.left))
}

func (s *server) cancel(r *run) {
	s.change(func() { s.running = slices.DeleteFunc(s.running, func(o *run) bool { return o == r }) })
}

// fail ends all runs without an answer.
func (s *server) fail() {
	var lost []*run
	s.change(func() {
		lost, s.running, s.up, s.cached = s.running, nil, false, nil
	})
	for _, r := range lost {
		r.done(false)
	}
}

func (s *server) setSpeed(speed float64) { s.change(func() { s.speed = speed }) }
