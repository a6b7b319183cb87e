package billing

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// GatherAsk asks a host for the usage counts that the platform is not known to have. It has no names of fields on the
// wire: a relay asks 40 hosts a second, most of which have nothing new.
type GatherAsk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Process is the process of the host that gave the two revisions.
	Process uint64
	// Since is the revision up to which the asking host has the counts.
	Since uint
	// Stored is the revision up to which the platform has what was handed over.
	Stored uint
}

// GatherAnswer holds the counts that have changed since.
type GatherAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Process  uint64
	Revision uint
	Counts   []usage.Count
}

// handed is an amount as it was handed over, or is about to be.
type handed struct {
	amount   usage.Amount
	revision uint
}

// Handover hands a collector's unstored counts to the relays of the zone, to each of them once for each change.
//
// A relay has to flush before it may say that a count is stored, so a count is unstored for some of its questions.
// Without revisions each answer would hold all that has changed since the flush.
type Handover struct {
	collector *Collector
	// process tells this process from the host's next one, whose revisions begin again.
	process uint64

	mutex    sync.Mutex
	revision uint
	handed   map[usage.Cell]handed
	// gathered are amounts that other hosts hold until they are stored.
	gathered map[usage.Cell]usage.Amount
}

// NewHandover hands the collector's counts over.
func NewHandover(collector *Collector) *Handover {
	return &Handover{
		collector: collector,
		process:   rand.Uint64(), //nolint:gosec // distinguishes processes, is no secret
		handed:    make(map[usage.Cell]handed),
		gathered:  make(map[usage.Cell]usage.Amount),
	}
}

// Answer returns the unstored counts that the asking host doesn't have yet.
//
// Guard: a host drops a count only when the platform has it. Revisions of a former process of the host mean other
// counts; believing them would drop counts that nobody has stored. They are taken for 0 then.
func (h *Handover) Answer(ask GatherAsk) GatherAnswer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if ask.Process != h.process {
		ask = GatherAsk{}
	}
	h.markStored(ask.Stored)
	h.revise()
	answer := GatherAnswer{Process: h.process, Revision: h.revision}
	for cell, held := range h.handed {
		if held.revision > ask.Since {
			answer.Counts = append(answer.Counts, usage.Count{Cell: cell, Amount: held.amount})
		}
	}
	return answer
}

// Gathered takes counts over from another host, which holds them until they are stored. They are not handed to a
// third host, which gathers them there by itself, unless this host has ceased to flush: the other one may be gone then.
func (h *Handover) Gathered(counts ...usage.Count) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, count := range counts {
		h.gathered[count.Cell] = h.gathered[count.Cell].Max(count.Amount)
	}
	h.collector.Merge(counts...)
}

// markStored expects the mutex to be held. An amount that has grown since it was handed over stays unstored.
func (h *Handover) markStored(through uint) {
	var counts []usage.Count
	for cell, held := range h.handed {
		if held.revision <= through {
			counts = append(counts, usage.Count{Cell: cell, Amount: held.amount})
		}
	}
	h.collector.Stored(counts)
}

// revise gives what has changed a new revision, and forgets what is stored. It expects the mutex to be held.
func (h *Handover) revise() {
	next := h.revision + 1
	unstored := make(map[usage.Cell]handed)
	gathered := make(map[usage.Cell]usage.Amount)
	for _, count := range h.collector.Unstored() {
		if amount, ok := h.gathered[count.Cell]; ok {
			gathered[count.Cell] = amount
			if amount == count.Amount && h.collector.enabled() {
				continue
			}
		}
		held, ok := h.handed[count.Cell]
		if !ok || held.amount != count.Amount {
			held = handed{amount: count.Amount, revision: next}
			h.revision = next
		}
		unstored[count.Cell] = held
	}
	h.handed, h.gathered = unstored, gathered
}

// maxBatches is above the number of questions between two flushes.
const maxBatches = 8

// batch is what one answer brought.
type batch struct {
	revision uint
	counts   []usage.Count
}

// Source is what a relay knows of a host from which it gathers.
type Source struct {
	process uint64
	since   uint
	stored  uint
	// batches are the answers whose counts the platform is not known to have, the oldest first.
	batches []batch
}

// Ask returns the next question to the host, by what the relay's collector has stored.
func (s *Source) Ask(collector *Collector) GatherAsk {
	for len(s.batches) > 0 && collector.HasStored(s.batches[0].counts) {
		s.stored = s.batches[0].revision
		s.batches = s.batches[1:]
	}
	return GatherAsk{Process: s.process, Since: s.since, Stored: s.stored}
}

// Take notes an answer, whose counts the relay's collector has been given.
func (s *Source) Take(answer GatherAnswer) {
	if answer.Process != s.process {
		*s = Source{process: answer.Process}
	}
	s.since = answer.Revision
	if len(answer.Counts) == 0 {
		return
	}
	next := batch{revision: answer.Revision, counts: answer.Counts}
	if len(s.batches) < maxBatches {
		s.batches = append(s.batches, next)
		return
	}
	// In an outage nothing is stored for hours. The last two become one then, which has each cell once.
	last := &s.batches[len(s.batches)-1]
	ledger := usage.NewLedger()
	for _, count := range slices.Concat(last.counts, next.counts) {
		ledger.Merge(count)
	}
	*last = batch{revision: next.revision, counts: ledger.Counts()}
}
