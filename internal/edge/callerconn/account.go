package callerconn

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/buffering"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const (
	// connectionBytes is the memory of an idle connection: its goroutine's stack and what the kernel and the runtime keep for it.
	connectionBytes = 12 << 10
	// protectedBytes is what a caller may hold, beside its connection, without being ended for large requests of others.
	protectedBytes = 64 << 10
	// memoryWait bounds how long a request waits for memory, and retryAfter is when a caller that was refused for it may come back.
	memoryWait = time.Second
	retryAfter = time.Second
	// pressureLogInterval is how often a crowd is logged.
	pressureLogInterval = 10 * time.Second
)

const (
	// callerMemoryShare is the share of a process's memory that callers may make it hold. The rest is for the answers of servers, for what
	// the process keeps for itself, and for garbage.
	callerMemoryShare = 0.35
	// reserveShare is the part of the callers' memory beyond it that only small requests use.
	reserveShare = 0.125
	// minOverhead is the memory for one request of the maximum size, beside its body.
	minOverhead = 4 << 20
	// fileDescriptors are kept for files, and callers use at most callerDescriptorShare of the others.
	fileDescriptors       = 200
	callerDescriptorShare = 0.75
	minConnections        = 16
)

// Limits returns what callers may make a process hold that may use the given memory in bytes and number of descriptors. A single request
// with a body of maxBody bytes is always within it.
func Limits(memory, descriptors, maxBody int) buffering.CallerLimits {
	callers := max(int(float64(memory)*callerMemoryShare), maxBody+minOverhead)
	return buffering.CallerLimits{
		Connections: max(minConnections, int(float64(descriptors-fileDescriptors)*callerDescriptorShare)),
		Memory:      callers,
		Reserve:     int(float64(callers) * reserveShare),
		Protected:   connectionBytes + protectedBytes,
	}
}

// errYielded is the error of reads on the connection of a caller that was ended in favour of others.
var errYielded = errors.New("the host has no memory left for this request")

// YieldRefusal returns the refusal of a request that yields to those of others before it has run.
func YieldRefusal() *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom, retryAfter, "%v", errYielded)
}

// Account bounds what the callers of a process make it hold, over all its listeners. It is safe for concurrent use.
type Account struct {
	log    zerolog.Logger
	yields *prometheus.CounterVec

	mu      sync.Mutex
	callers *buffering.Callers
	conns   map[*buffering.Caller]*callerConn
	// released is closed and replaced when memory is released while callers wait for it.
	released chan struct{}
	waiting  int
	// ended and refused count the callers that yielded since the last log line, which was written at logged.
	ended, refused int
	logged         time.Time
}

// NewAccount returns an account for the callers of a listener. Its metrics have the listener's name as a label.
func NewAccount(listener string, limits buffering.CallerLimits, registry prometheus.Registerer, log zerolog.Logger) *Account {
	registry = prometheus.WrapRegistererWith(prometheus.Labels{"listener": listener}, registry)
	a := &Account{
		log: log.With().Str("listener", listener).Logger(),
		yields: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_callers_ended_total",
			Help: "Callers whose connection or request was ended in favour of others, by what the connection was used for.",
		}, []string{"phase"}),
		callers:  buffering.NewCallers(limits),
		conns:    map[*buffering.Caller]*callerConn{},
		released: make(chan struct{}),
	}
	registry.MustRegister(a.yields,
		a.gauge("oleandershelf_caller_memory_bytes", "Memory that callers make the process hold.", (*buffering.Callers).Held),
		a.gauge("oleandershelf_caller_connections", "Open connections of callers.", (*buffering.Callers).Len))
	return a
}

func (a *Account) gauge(name, help string, value func(*buffering.Callers) int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(value(a.callers))
	})
}

// add returns the connection as one of the account, or nil if it is to be closed.
func (a *Account) add(tcp *net.TCPConn) *callerConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	caller, ended := a.callers.Add(time.Now(), connectionBytes)
	a.endLocked(ended)
	if caller == nil {
		a.countLocked(nil)
		return nil
	}
	conn := &callerConn{TCPConn: tcp, account: a, caller: caller}
	a.conns[caller] = conn
	return conn
}

// hold asks for more memory for a caller, in bytes, and waits for it if others are to release it. It returns errYielded if the caller itself
// is to yield.
func (a *Account) hold(caller *buffering.Caller, bytes int) error {
	decision, released := a.ask(caller, bytes)
	if decision == buffering.Wait {
		timeout := time.NewTimer(memoryWait)
		defer timeout.Stop()
		for decision == buffering.Wait {
			select {
			case <-released:
			case <-timeout.C:
				a.giveUp(caller)
				return errYielded
			}
			decision, released = a.ask(caller, bytes)
		}
	}
	if decision == buffering.Refused {
		return errYielded
	}
	return nil
}

// giveUp counts a caller that has waited in vain.
func (a *Account) giveUp(caller *buffering.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = max(0, a.waiting-1)
	a.countLocked(caller)
}

func (a *Account) ask(caller *buffering.Caller, bytes int) (buffering.Decision, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision, ended := a.callers.Hold(time.Now(), caller, bytes)
	a.endLocked(ended)
	switch {
	case decision == buffering.Wait:
		a.waiting++
	case decision == buffering.Refused && !caller.Ended():
		a.countLocked(caller)
	}
	return decision, a.released
}

// release records that a caller holds less memory, in bytes.
func (a *Account) release(caller *buffering.Caller, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.Release(caller, bytes)
	a.wakeLocked()
}

// releaseAll records that a caller holds nothing more than its descriptor.
func (a *Account) releaseAll(caller *buffering.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.Release(caller, caller.Held())
	a.wakeLocked()
}

// remove removes a caller whose connection is closed.
func (a *Account) remove(caller *buffering.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.Remove(caller)
	delete(a.conns, caller)
	a.wakeLocked()
}

// Serving returns the number of callers whose request has been read and whose answer isn't written yet.
func (a *Account) Serving() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for caller := range a.conns {
		if caller.Phase() == buffering.PhaseServing {
			count++
		}
	}
	return count
}

func (a *Account) setPhase(caller *buffering.Caller, phase buffering.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers.SetPhase(time.Now(), caller, phase)
}

// isEnded reports whether the caller was ended in favour of others.
func (a *Account) isEnded(caller *buffering.Caller) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return caller.Ended()
}

func (a *Account) wakeLocked() {
	if a.waiting == 0 {
		return
	}
	close(a.released)
	a.released, a.waiting = make(chan struct{}), 0
}

// endLocked ends callers: idle connections are closed, and others fail to read the rest of their request, so that they can be refused.
func (a *Account) endLocked(ended []*buffering.Caller) {
	for _, caller := range ended {
		a.ended++
		a.yields.WithLabelValues(caller.Phase().String()).Inc()
		a.conns[caller].yield(caller.Phase() == buffering.PhaseIdle)
	}
	if len(ended) > 0 {
		// They may be waiting for memory.
		a.wakeLocked()
	}
	a.logLocked()
}

// countLocked counts a caller that is refused; nil stands for a connection that was not accepted.
func (a *Account) countLocked(caller *buffering.Caller) {
	phase := "connecting"
	if caller != nil {
		phase = caller.Phase().String()
	}
	a.refused++
	a.yields.WithLabelValues(phase).Inc()
	a.logLocked()
}

func (a *Account) logLocked() {
	now := time.Now()
	if a.ended+a.refused == 0 || now.Sub(a.logged) < pressureLogInterval {
		return
	}
	a.log.Warn().Int("connections", a.callers.Len()).Int("bytes", a.callers.Held()).Int("ended", a.ended).Int("refused", a.refused).
		Msg("callers exceed what the host may hold")
	a.logged, a.ended, a.refused = now, 0, 0
}
