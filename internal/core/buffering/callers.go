package buffering

import "time"

// Phase says what a caller's connection is used for.
type Phase uint8

// The phases of a connection.
const (
	// PhaseIdle: no byte of a request has arrived since the last answer.
	PhaseIdle Phase = iota + 1
	// PhaseReading: a part of a request has arrived.
	PhaseReading
	// PhaseServing: a whole request has arrived and is being answered.
	PhaseServing
)

// String returns the phase as a label.
func (p Phase) String() string {
	switch p {
	case PhaseIdle:
		return "idle"
	case PhaseReading:
		return "reading"
	default:
		return "serving"
	}
}

// CallerLimits bounds what the callers of a process make it hold.
type CallerLimits struct {
	// Connections is the maximum number of callers' connections.
	Connections int
	// Memory is the memory, in bytes, for all connections with their requests.
	Memory int
	// Reserve is the memory, in bytes, beyond Memory that only callers holding no more than Protected use, so that ordinary calls are
	// served while large requests use up the rest.
	Reserve, Protected int
}

const (
	// readingGrace is how long a request may take to arrive before its caller yields to others, and readingRate, in bytes a second, adds
	// time for a long body.
	readingGrace = 2 * time.Second
	readingRate  = 8 << 20
	// closingShare is the divisor for how many connections of ended callers may be open beyond the maximum.
	closingShare = 8
)

// Caller is what one connection of a caller holds. It belongs to one Callers.
type Caller struct {
	phase Phase
	// since is when the phase began.
	since time.Time
	held  int
	ended bool
}

// Phase returns the caller's phase.
func (c *Caller) Phase() Phase { return c.phase }

// Held returns the memory that the caller holds, in bytes.
func (c *Caller) Held() int { return c.held }

// Ended reports whether the caller was ended in favour of others.
func (c *Caller) Ended() bool { return c.ended }

// due returns when a request that is arriving should have arrived.
func (c *Caller) due() time.Time {
	return c.since.Add(readingGrace + time.Duration(float64(c.held)/readingRate*float64(time.Second)))
}

// Decision is the answer to a caller that asks for memory.
type Decision uint8

// The decisions on memory.
const (
	// Granted: the caller holds the memory from now on.
	Granted Decision = iota + 1
	// Wait: the memory is held by others that were ended or are being served. The caller may ask again once some of it was released.
	Wait
	// Refused: the caller is the one that has to yield.
	Refused
)

// Callers is the account of what callers make a process hold: descriptors, and the memory of connections, heads, bodies and decoded requests.
// It is not safe for concurrent use.
//
// The load that it bounds is a crowd of callers, each within the limits for one request, that together exceed what the process may use:
// connections without a request, requests that stop short of their end, and large requests at the same moment. Each caller that is ended
// held something that it had no whole request for, so that a refusal can promise that nothing ran.
type Callers struct {
	limits CallerLimits
	all    map[*Caller]struct{}
	held   int
	// ending is the part of held that belongs to ended callers, which are about to release it.
	ending int
}

// NewCallers returns an account without callers.
func NewCallers(limits CallerLimits) *Callers {
	return &Callers{limits: limits, all: map[*Caller]struct{}{}}
}

// Len returns the number of connections.
func (c *Callers) Len() int { return len(c.all) }

// Held returns the memory that all callers hold, in bytes.
func (c *Callers) Held() int { return c.held }

// Add adds the connection of a caller, which holds the given number of bytes, and returns the callers to be ended. It returns no caller if the
// connection is to be closed instead.
func (c *Callers) Add(now time.Time, bytes int) (caller *Caller, ended []*Caller) {
	if len(c.all) >= c.limits.Connections {
		first := c.firstToYield(now, nil, 0)
		// Those that were ended before may still be reading their refusal.
		if first == nil || !first.yieldsConnection(now) || len(c.all) > c.limits.Connections+c.limits.Connections/closingShare {
			return nil, nil
		}
		c.end(first)
		ended = append(ended, first)
	}
	caller = &Caller{phase: PhaseIdle, since: now}
	c.all[caller] = struct{}{}
	decision, more := c.Hold(now, caller, bytes)
	ended = append(ended, more...)
	if decision != Granted {
		c.Remove(caller)
		return nil, ended
	}
	return caller, ended
}

// yieldsConnection reports whether the caller yields its descriptor to a caller that connects.
func (c *Caller) yieldsConnection(now time.Time) bool {
	return c.phase == PhaseIdle || c.phase == PhaseReading && now.After(c.due())
}

// SetPhase records that the phase of a caller has changed.
func (c *Callers) SetPhase(now time.Time, caller *Caller, phase Phase) {
	if caller.phase != phase {
		caller.phase, caller.since = phase, now
	}
}

// Hold asks for more memory for a caller, in bytes, and returns the callers to be ended.
func (c *Callers) Hold(now time.Time, caller *Caller, bytes int) (Decision, []*Caller) {
	if caller.ended {
		return Refused, nil
	}
	room := c.limits.Memory
	if caller.held+bytes <= c.limits.Protected {
		room += c.limits.Reserve
	}
	decision := Wait
	if c.held+bytes <= room {
		c.add(caller, bytes)
		decision, bytes = Granted, 0
	}
	var ended []*Caller
	for c.held-c.ending+bytes > c.limits.Memory {
		first := c.firstToYield(now, caller, bytes)
		if first == nil || first == caller {
			if first == caller && decision == Wait && !c.fitsLater(bytes) {
				return Refused, ended
			}
			break
		}
		c.end(first)
		ended = append(ended, first)
	}
	return decision, ended
}

// fitsLater reports whether there is memory, in bytes, once the ended callers and those being served have released theirs.
func (c *Callers) fitsLater(bytes int) bool {
	for caller := range c.all {
		if !caller.ended && caller.phase != PhaseServing {
			bytes += caller.held
		}
	}
	return bytes <= c.limits.Memory
}

// Release records that a caller holds less memory, in bytes.
func (c *Callers) Release(caller *Caller, bytes int) { c.add(caller, -bytes) }

// Remove removes a caller whose connection is closed.
func (c *Callers) Remove(caller *Caller) {
	if _, ok := c.all[caller]; ok {
		c.add(caller, -caller.held)
		delete(c.all, caller)
	}
}

func (c *Callers) add(caller *Caller, bytes int) {
	caller.held += bytes
	c.held += bytes
	if caller.ended {
		c.ending += bytes
	}
}

func (c *Callers) end(caller *Caller) {
	caller.ended = true
	c.ending += caller.held
}

// firstToYield returns the caller to be ended next, if more, in bytes, is asked for by asker; nil if there is none. Idle connections come
// first, the longest idle one before the others; then requests that take too long to arrive; then the one of the large requests that are
// arriving that began last, so that those before it arrive.
func (c *Callers) firstToYield(now time.Time, asker *Caller, more int) *Caller {
	var first *Caller
	var firstRank int
	for caller := range c.all {
		held := caller.held
		if caller == asker {
			held += more
		}
		rank := c.rank(now, caller, held)
		if rank == 0 || caller == asker && rank == rankIdle {
			continue
		}
		older := first != nil && caller.since.Before(first.since)
		if first == nil || rank > firstRank || rank == firstRank && older == (rank > rankLarge) {
			first, firstRank = caller, rank
		}
	}
	return first
}

// The ranks of callers that yield; a higher one yields first.
const (
	rankLarge = iota + 1
	rankOverdue
	rankIdle
)

// rank returns the rank of a caller that holds the given number of bytes; 0 if it doesn't yield.
func (c *Callers) rank(now time.Time, caller *Caller, held int) int {
	switch {
	case caller.ended || caller.phase == PhaseServing:
		return 0
	case caller.phase == PhaseIdle:
		return rankIdle
	case now.After(caller.due()):
		return rankOverdue
	case held > c.limits.Protected:
		return rankLarge
	default:
		return 0
	}
}
