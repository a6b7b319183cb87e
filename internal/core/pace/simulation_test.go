package pace

import (
	"fmt"
	"math/rand/v2"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

const (
	testSlots    = 6
	testInterval = 43 * time.Millisecond
	// testLoadEffect is how much longer events take with all slots in use.
	testLoadEffect = 0.21
)

// simulation feeds an estimator with the streams of simulated servers, in virtual time.
type simulation struct {
	random    *rand.Rand
	estimator *Estimator
	servers   []Server
	// factor returns the lasting factor of a server at a time after the start, and running the number of its streams.
	factor  func(server int, after time.Duration) float64
	running func(server int, after time.Duration) int
	// noise makes a server 2.5 times slower for 0.6 s at a time, 15 % of the time.
	noise bool
	// slowPeriods holds for each server and period of 0.6 s whether the server is slow.
	slowPeriods map[[2]int]bool
	streams     []stream
	now         time.Duration
}

// stream is a stream of a server; its span began and ends at these times after the start.
type stream struct {
	server, number int
	began, ends    time.Duration
}

func newSimulation(seed uint64, count int, factor func(int, time.Duration) float64) *simulation {
	s := &simulation{
		random:      rand.New(rand.NewPCG(seed, seed)),
		estimator:   NewEstimator(),
		factor:      factor,
		running:     func(int, time.Duration) int { return testSlots },
		noise:       true,
		slowPeriods: map[[2]int]bool{},
	}
	for i := range count {
		s.servers = append(s.servers, Server{Key: Key{ID: fmt.Sprintf("e%02d", i), Started: 1}, Pool: "engines", Slots: testSlots})
		for number := range testSlots {
			s.streams = append(s.streams, stream{server: i, number: number})
		}
	}
	for i := range s.streams {
		s.streams[i].began = time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
		s.streams[i].ends = s.spanEnd(s.streams[i])
	}
	s.estimator.Retain(s.servers)
	return s
}

func equal(int, time.Duration) float64 { return 1 }

// oneInFour is the factor of servers of which one in four is fast.
func oneInFour(server int, _ time.Duration) float64 {
	if server%4 == 0 {
		return 0.55
	}
	return 1.2
}

func (s *simulation) slow(server int, at time.Duration) bool {
	period := [2]int{server, int((at + time.Duration(server)*77*time.Millisecond) / (600 * time.Millisecond))}
	slow, ok := s.slowPeriods[period]
	if !ok {
		slow = s.noise && s.random.Float64() < 0.15
		s.slowPeriods[period] = slow
	}
	return slow
}

// spanEnd returns when the span that began ends.
func (s *simulation) spanEnd(st stream) time.Duration {
	at := st.began
	for range spanEvents {
		load := float64(s.running(st.server, at)-1) / (testSlots - 1)
		took := testInterval.Seconds() * s.factor(st.server, at) * (1 + testLoadEffect*load) * (0.95 + 0.1*s.random.Float64())
		if s.slow(st.server, at) {
			took *= 2.5
		}
		at += time.Duration(took * float64(time.Second))
	}
	return at
}

// run advances the simulation, calling each after every span.
func (s *simulation) run(duration time.Duration, each func(now time.Time)) {
	end := s.now + duration
	for {
		next := &s.streams[0]
		for i := range s.streams {
			if s.streams[i].ends < next.ends {
				next = &s.streams[i]
			}
		}
		if next.ends > end {
			s.now = end
			return
		}
		s.now = next.ends
		if running := s.running(next.server, s.now); next.number < running {
			s.estimator.Observe(s.time(), s.servers[next.server].Key, running, (next.ends-next.began)/spanEvents)
		}
		next.began = next.ends
		next.ends = s.spanEnd(*next)
		if each != nil {
			each(s.time())
		}
	}
}

func (s *simulation) time() time.Time { return start.Add(s.now) }

func (s *simulation) estimate(server int) Estimate {
	return s.estimator.Estimate(s.time(), s.servers[server].Key, testSlots)
}
