package billing

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// GatherRequest requests from a host the usage counts that the platform is not known to have. It is encoded as an
// array, without field names: a relay sends requests to 40 hosts per second, most of which have nothing new.
type GatherRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Process identifies the process of the host that issued the two revisions.
	Process uint64
	// Since is the revision up to which the requesting host has the counts.
	Since uint
	// Stored is the revision up to which the platform has the counts that were sent.
	Stored uint
}

// GatherResponse holds the unstored counts that have changed since the requested revision.
type GatherResponse struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Process  uint64
	Revision uint
	Counts   []usage.Count
}

// sentCount is an amount that was sent in a response, or will be in the next one, and the revision at which
// it last changed.
type sentCount struct {
	amount   usage.Amount
	revision uint
}

// Handover passes the unstored counts of a collector to the relays of the availability zone, each change
// once to each relay.
//
// A relay can report a count as stored only after a flush, so a count stays unstored during several of the
// relay's requests. Without revisions, each response would repeat all counts that have changed since that
// flush.
type Handover struct {
	collector *Collector
	// process distinguishes this process from the next process of the host, whose revisions start again at 0.
	process uint64

	mutex      sync.Mutex
	revision   uint
	sentCounts map[usage.Cell]sentCount
	// gatheredAmounts are amounts from other hosts, which keep them until they are stored.
	gatheredAmounts map[usage.Cell]usage.Amount
}

// NewHandover returns a Handover for the counts of the collector, with a random process number.
func NewHandover(collector *Collector) *Handover {
	return &Handover{
		collector:       collector,
		process:         rand.Uint64(), //nolint:gosec // distinguishes processes, is no secret
		sentCounts:      make(map[usage.Cell]sentCount),
		gatheredAmounts: make(map[usage.Cell]usage.Amount),
	}
}

// Respond returns the unstored counts that the requesting host doesn't have yet.
//
// A host may remove a count only when the platform has it. Revisions from a previous process of this host
// refer to other counts, and accepting them would remove counts that nobody has stored, so they are treated
// as 0.
func (h *Handover) Respond(request GatherRequest) GatherResponse {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if request.Process != h.process {
		request = GatherRequest{}
	}
	h.markStored(request.Stored)
	h.assignRevisions()
	response := GatherResponse{Process: h.process, Revision: h.revision}
	for cell, sent := range h.sentCounts {
		if sent.revision > request.Since {
			response.Counts = append(response.Counts, usage.Count{Cell: cell, Amount: sent.amount})
		}
	}
	return response
}

// AddGathered merges counts from another host, which keeps them until they are stored. They are not passed on
// to a third host, which gathers them from the source itself, unless this host has stopped flushing: the
// source may have shut down by then.
func (h *Handover) AddGathered(counts ...usage.Count) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, count := range counts {
		h.gatheredAmounts[count.Cell] = h.gatheredAmounts[count.Cell].Max(count.Amount)
	}
	h.collector.Merge(counts...)
}

// markStored marks as stored the amounts that were sent up to throughRevision. The caller must hold mutex. An amount
// that has grown since it was sent stays unstored.
func (h *Handover) markStored(throughRevision uint) {
	var counts []usage.Count
	for cell, sent := range h.sentCounts {
		if sent.revision <= throughRevision {
			counts = append(counts, usage.Count{Cell: cell, Amount: sent.amount})
		}
	}
	h.collector.MarkStored(counts)
}

// assignRevisions gives changed counts a new revision and drops those that are stored. The caller must hold
// mutex.
func (h *Handover) assignRevisions() {
	next := h.revision + 1
	unstored := make(map[usage.Cell]sentCount)
	gathered := make(map[usage.Cell]usage.Amount)
	for _, count := range h.collector.Unstored() {
		if amount, ok := h.gatheredAmounts[count.Cell]; ok {
			gathered[count.Cell] = amount
			if amount == count.Amount && h.collector.flushEnabled() {
				continue
			}
		}
		sent, ok := h.sentCounts[count.Cell]
		if !ok || sent.amount != count.Amount {
			sent = sentCount{amount: count.Amount, revision: next}
			h.revision = next
		}
		unstored[count.Cell] = sent
	}
	h.sentCounts, h.gatheredAmounts = unstored, gathered
}

// maxBatches is larger than the number of requests between two flushes.
const maxBatches = 8

// responseBatch holds the counts of one response, or of several merged ones.
type responseBatch struct {
	revision uint
	counts   []usage.Count
}

// Source is the state that a relay keeps about a host from which it gathers counts.
type Source struct {
	process          uint64
	receivedRevision uint
	storedRevision   uint
	// batches are the responses whose counts the platform is not known to have, the oldest first.
	batches []responseBatch
}

// NextRequest returns the next request to the host. The stored revision in it depends on which counts the relay's
// collector knows to be stored.
func (s *Source) NextRequest(collector *Collector) GatherRequest {
	for len(s.batches) > 0 && collector.HasStored(s.batches[0].counts) {
		s.storedRevision = s.batches[0].revision
		s.batches = s.batches[1:]
	}
	return GatherRequest{Process: s.process, Since: s.receivedRevision, Stored: s.storedRevision}
}

// RecordResponse records a response whose counts the relay's collector already has.
func (s *Source) RecordResponse(response GatherResponse) {
	if response.Process != s.process {
		*s = Source{process: response.Process}
	}
	s.receivedRevision = response.Revision
	if len(response.Counts) == 0 {
		return
	}
	next := responseBatch{revision: response.Revision, counts: response.Counts}
	if len(s.batches) < maxBatches {
		s.batches = append(s.batches, next)
		return
	}
	// During a platform outage nothing is stored for hours. Then the last two batches are merged into one,
	// which holds each cell once.
	last := &s.batches[len(s.batches)-1]
	ledger := usage.NewLedger()
	for _, count := range slices.Concat(last.counts, next.counts) {
		ledger.Merge(count)
	}
	*last = responseBatch{revision: next.revision, counts: ledger.Counts()}
}
