package buffering

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = CallerLimits{Connections: 4, Memory: 1000, Reserve: 100, Protected: 50}

const testConnectionBytes = 10

// callersTrial is an account with a clock that the test advances.
type callersTrial struct {
	*Callers
	t   *testing.T
	now time.Time
}

func newCallersTrial(t *testing.T) *callersTrial {
	return &callersTrial{Callers: NewCallers(testLimits), t: t, now: time.Unix(0, 0)}
}

// connect adds a caller in a phase that holds more bytes.
func (c *callersTrial) connect(phase Phase, bytes int) *Caller {
	c.t.Helper()
	c.now = c.now.Add(time.Millisecond)
	caller, _ := c.Add(c.now, testConnectionBytes)
	if caller == nil {
		c.t.Fatal("the connection was not admitted")
	}
	c.SetPhase(c.now, caller, phase)
	if decision, _ := c.Hold(c.now, caller, bytes); bytes > 0 && decision != Granted {
		c.t.Fatalf("%d bytes: decision %d", bytes, decision)
	}
	return caller
}

func (c *callersTrial) wantEnded(ended []*Caller, want ...*Caller) {
	c.t.Helper()
	if len(ended) != len(want) {
		c.t.Fatalf("%d callers were ended, want %d", len(ended), len(want))
	}
	for i, caller := range want {
		if ended[i] != caller || !caller.Ended() {
			c.t.Errorf("another caller than the one wanted was ended as number %d", i)
		}
	}
}

// Guards against a crowd of idle connections that keeps others from connecting.
func TestLongestIdleConnectionYields(t *testing.T) {
	c := newCallersTrial(t)
	c.connect(PhaseServing, 0)
	longest := c.connect(PhaseIdle, 0)
	c.connect(PhaseIdle, 0)
	c.connect(PhaseReading, 0)
	caller, ended := c.Add(c.now, testConnectionBytes)
	if caller == nil {
		t.Fatal("the connection was not admitted")
	}
	c.wantEnded(ended, longest)
}

// Guards against heads that arrive byte by byte and keep others from connecting, and against ending those that only just began.
func TestOverdueRequestYieldsItsConnection(t *testing.T) {
	c := newCallersTrial(t)
	slow := c.connect(PhaseReading, 0)
	for range 3 {
		c.connect(PhaseServing, 0)
	}
	if caller, _ := c.Add(c.now, testConnectionBytes); caller != nil {
		t.Error("a connection was admitted while all others are in use")
	}
	c.now = c.now.Add(readingGrace + time.Second)
	_, ended := c.Add(c.now, testConnectionBytes)
	c.wantEnded(ended, slow)
}

// Guards against connections of ended callers that together exceed the descriptors.
func TestEndedCallersCountUntilTheyAreClosed(t *testing.T) {
	c := newCallersTrial(t)
	for range 100 {
		c.now = c.now.Add(time.Millisecond)
		c.Add(c.now, testConnectionBytes)
	}
	if most := testLimits.Connections + testLimits.Connections/closingShare + 1; c.Len() > most {
		t.Errorf("%d connections, want %d at most", c.Len(), most)
	}
}

// Guards against a large request that ends those that began before it, so that none would ever be whole.
func TestLargeRequestThatBeganLastYields(t *testing.T) {
	c := newCallersTrial(t)
	first := c.connect(PhaseReading, 600)
	second := c.connect(PhaseReading, 300)
	decision, ended := c.Hold(c.now, first, 200)
	if decision != Wait {
		t.Errorf("decision %d", decision)
	}
	c.wantEnded(ended, second)
	c.Remove(second)
	if decision, _ = c.Hold(c.now, first, 200); decision != Granted {
		t.Errorf("decision %d after the memory was released", decision)
	}
	last := c.connect(PhaseReading, 0)
	if decision, ended = c.Hold(c.now, last, 300); decision != Refused || len(ended) > 0 {
		t.Errorf("decision %d, %d ended", decision, len(ended))
	}
}

// Guards against requests that stop just short of their end and hold memory that others need.
func TestOverdueRequestYieldsItsMemory(t *testing.T) {
	c := newCallersTrial(t)
	stopped := c.connect(PhaseReading, 900)
	c.now = c.now.Add(readingGrace + time.Second)
	next := c.connect(PhaseReading, 0)
	decision, ended := c.Hold(c.now, next, 300)
	if decision != Wait {
		t.Errorf("decision %d", decision)
	}
	c.wantEnded(ended, stopped)
}

// Guards against large requests that take the memory of small ones, and against ending requests that are being served.
func TestSmallRequestsUseTheReserve(t *testing.T) {
	c := newCallersTrial(t)
	served := c.connect(PhaseServing, 980)
	small := c.connect(PhaseReading, 30)
	if served.Ended() || small.Ended() {
		t.Error("a caller was ended")
	}
	if decision, _ := c.Hold(c.now, small, 100); decision != Wait {
		t.Errorf("decision %d on a large request, want to wait for those being served", decision)
	}
	arriving := c.connect(PhaseReading, 0)
	c.Remove(served)
	if decision, _ := c.Hold(c.now, arriving, 900); decision != Granted {
		t.Errorf("decision %d once the memory was released", decision)
	}
	if decision, _ := c.Hold(c.now, small, 100); decision != Wait && decision != Refused {
		t.Errorf("decision %d beyond the memory", decision)
	}
}

// Guards against an account that loses count, ends a request that is being served, or grants more than the limits.
func TestCallersKeepTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account, now := NewCallers(testLimits), time.Unix(0, 0)
		var open []*Caller
		check := func(ended []*Caller) {
			for _, caller := range ended {
				if caller.Phase() == PhaseServing {
					t.Fatal("a request that is being served was ended")
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"connect": func(*rapid.T) {
				caller, ended := account.Add(now, testConnectionBytes)
				check(ended)
				if caller != nil {
					open = append(open, caller)
				}
			},
			"hold": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				caller := rapid.SampledFrom(open).Draw(t, "caller")
				_, ended := account.Hold(now, caller, rapid.IntRange(1, 700).Draw(t, "bytes"))
				check(ended)
			},
			"phase": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				phase := rapid.SampledFrom([]Phase{PhaseIdle, PhaseReading, PhaseServing}).Draw(t, "phase")
				account.SetPhase(now, rapid.SampledFrom(open).Draw(t, "caller"), phase)
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "caller")
				account.Remove(open[i])
				open = append(open[:i], open[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				held, ending := 0, 0
				for _, caller := range open {
					held += caller.held
					if caller.ended {
						ending += caller.held
					}
				}
				if account.Held() != held || account.ending != ending || account.Len() != len(open) {
					t.Fatalf("the account has %d bytes, %d of them ending, of %d callers, want %d, %d and %d", account.Held(), account.ending,
						account.Len(), held, ending, len(open))
				}
				if held > testLimits.Memory+testLimits.Reserve {
					t.Fatalf("%d bytes are held", held)
				}
			},
		})
	})
}
