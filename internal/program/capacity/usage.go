package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// generateCounts returns a count for each organisation and agent in the window. Agents' incarnations and the amounts are
// random, as in a deployment, because the length of a stored count depends on them.
func generateCounts(organisations, agents int, windowStart int64) []usage.Count {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // each run must produce the same sizes
	incarnations := make([]uint64, agents)
	for i := range incarnations {
		incarnations[i] = random.Uint64()
	}
	counts := make([]usage.Count, 0, organisations*agents)
	for o := range organisations {
		for _, incarnation := range incarnations {
			cell := usage.Cell{Agent: incarnation, Organisation: fmt.Sprintf("organisation-%04d", o), Window: windowStart}
			counts = append(counts, usage.Count{Cell: cell, Amount: addRequests(usage.Amount{}, 1+random.Uint64N(200))})
		}
	}
	return counts
}

// addRequests returns the amount after the given number of further requests.
func addRequests(amount usage.Amount, requests uint64) usage.Amount {
	const (
		tokens = 371
		took   = 7_481_293_731 * time.Nanosecond
	)
	return amount.Plus(usage.Amount{Requests: requests, Tokens: requests * tokens, ServerTime: time.Duration(requests) * took})
}

// countingStore counts the bytes of the objects that are read and written.
type countingStore struct {
	platform.Store
	bytes int
}

// Get implements platform.Store.
func (c *countingStore) Get(ctx context.Context, name string) (platform.Object, error) {
	object, err := c.Store.Get(ctx, name)
	c.bytes += len(object.Value)
	return object, err
}

// Put implements platform.Store.
func (c *countingStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	c.bytes += len(value)
	return c.Store.Put(ctx, name, value, ifVersion)
}

// usageCellExperiment measures the cost of a flush of usage counts at a relay.
type usageCellExperiment struct{}

// Description implements Experiment.
func (usageCellExperiment) Description() Description {
	return Description{
		Name: "usageCells", SizeUnit: "count",
		Notes: "A relay's flush of growing counts, all of one window and of eight organisations, into the object API of an in-memory stand-in. A third of the counts grows before each flush, as does a third of the 1,900 counts of a zone at 40 requests/s within 15 s. Bytes of the objects read and written, of the counts as agents hand them over, and the memory of ledger and collector. One host.",
	}
}

// Sizes implements Experiment.
func (usageCellExperiment) Sizes() []int { return []int{8, 64, 248, 1000, 1904, 4000} }

// Measure implements Experiment.
func (usageCellExperiment) Measure(ctx context.Context, cells int) ([]Metric, error) {
	const (
		organisations = 8
		growthStride  = 3
		flushes       = 3 * repeats
	)
	inner := standin.NewMemory()
	store := &countingStore{Store: inner}
	counts := generateCounts(organisations, cells/organisations, usage.WindowStart(time.Now(), billing.DefaultWindow))
	encoded, err := msgpack.Marshal(counts)
	if err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithWriter("entry-1"), billing.WithFlushInterval(0))
	collector.Merge(counts...)
	if err := collector.Flush(ctx); err != nil {
		return nil, err
	}
	processorStart, callsBefore, transferred := processorTime(), inner.Calls(), store.bytes
	for round := range flushes {
		for i := range counts {
			if (i+round)%growthStride == 0 {
				counts[i].Amount = addRequests(counts[i].Amount, 1)
			}
		}
		collector.Merge(counts...)
		if err := collector.Flush(ctx); err != nil {
			return nil, err
		}
	}
	processorUsed := processorTime() - processorStart
	transferred = store.bytes - transferred
	memoryHeld := memoryInUse() - memoryBefore
	runtime.KeepAlive(collector)
	runtime.KeepAlive(counts)
	stored, err := inner.List(ctx, billing.CountsPrefix)
	storedBytes := 0
	for _, object := range stored {
		storedBytes += len(object.Value)
	}
	callsAfter := inner.Calls()
	return []Metric{
		{Name: "processor time of a flush", Unit: "µs", Value: processorUsed.Seconds() * microsecondsPerSecond / flushes},
		{Name: "bytes read and written a flush", Unit: unitBytes, Value: float64(transferred) / flushes},
		{Name: "bytes handed over", Unit: unitBytes, Value: float64(len(encoded))},
		{Name: "bytes of the stored objects", Unit: unitBytes, Value: float64(storedBytes)},
		{Name: nameMemory + ", stored objects included", Unit: unitBytes, Value: max(memoryHeld, 0)},
		{Name: "writes a flush", Unit: unitCount, Value: float64(callsAfter[standin.KindPut]-callsBefore[standin.KindPut]) / flushes},
		{Name: "reads a flush", Unit: unitCount, Value: float64(callsAfter[standin.KindGet]-callsBefore[standin.KindGet]) / flushes},
	}, err
}

// flushAll flushes until all counts are stored. Several flushes may be needed, since one that finds a full object only
// splits that object.
func flushAll(ctx context.Context, collector *billing.Collector) error {
	const maxFlushes = 6
	var err error
	for range maxFlushes {
		if err = collector.Flush(ctx); err == nil {
			return nil
		}
	}
	return err
}

// soleDuty is a duty that is always held.
type soleDuty struct{}

// Held implements billing.Duty.
func (soleDuty) Held(now time.Time) (platform.Version, time.Time, bool) {
	return 1, now.Add(time.Minute), true
}

// trackPeakHeap watches the heap until the function that it returns is called; that function returns the largest size
// seen, in bytes. Meanwhile garbage is collected more often, which adds to the measured processor time.
func trackPeakHeap(ctx context.Context) func() float64 {
	const (
		garbagePercent = 10
		sampleInterval = time.Millisecond
	)
	previousPercent := debug.SetGCPercent(garbagePercent)
	ctx, cancel := context.WithCancel(ctx)
	peak := 0.0
	var sampler conc.WaitGroup
	sampler.Go(func() {
		samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for pause(ctx, sampleInterval) == nil {
			metrics.Read(samples)
			peak = max(peak, float64(samples[0].Value.Uint64()))
		}
	})
	return func() float64 {
		cancel()
		sampler.Wait()
		debug.SetGCPercent(previousPercent)
		return peak
	}
}

// closingExperiment measures the cost of closing a usage window.
type closingExperiment struct{}

// Description implements Experiment.
func (closingExperiment) Description() Description {
	return Description{
		Name: "closings", SizeUnit: "organisation",
		Notes: "Closing one usage window in which each organisation has counts of a hundred agents: freezing, reporting and cleaning up; closer and in-memory stand-in together, with a garbage collection whenever the heap has grown by a tenth.",
	}
}

// Sizes implements Experiment.
func (closingExperiment) Sizes() []int { return []int{8, 64, 250, 1000} }

// Measure implements Experiment.
func (closingExperiment) Measure(ctx context.Context, organisations int) ([]Metric, error) {
	const agents = 100
	store := standin.NewMemory()
	now := time.Now()
	windowStart := usage.WindowStart(now, billing.DefaultWindow) - usage.WindowSeconds(billing.DefaultWindow)
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithWriter("entry-1"), billing.WithFlushInterval(0))
	collector.Merge(generateCounts(organisations, agents, windowStart)...)
	if err := flushAll(ctx, collector); err != nil {
		return nil, err
	}
	closer := billing.NewCloser(ctx, store, soleDuty{}, billing.WithCheckInterval(0), billing.WithGrace(0))
	memoryBefore, callsBefore := memoryInUse(), store.Calls()
	stopTracking := trackPeakHeap(ctx)
	processorStart, started := processorTime(), time.Now()
	if err := closer.CloseDueWindows(ctx); err != nil {
		return nil, err
	}
	processorUsed, elapsed := processorTime()-processorStart, time.Since(started)
	peak := stopTracking()
	callsMade := func(kinds ...standin.CallKind) float64 {
		sum := 0
		for _, kind := range kinds {
			sum += store.Calls()[kind] - callsBefore[kind]
		}
		return float64(sum)
	}
	return []Metric{
		{Name: nameProcessor, Unit: "ms", Value: processorUsed.Seconds() * 1e3},
		{Name: "time", Unit: "ms", Value: elapsed.Seconds() * 1e3},
		{Name: "growth of memory, stored objects included", Unit: unitBytes, Value: max(memoryInUse()-memoryBefore, 0)},
		{Name: "highest growth of the heap in between", Unit: unitBytes, Value: max(peak-memoryBefore, 0)},
		{Name: "writes and reports", Unit: unitCount, Value: callsMade(standin.KindPut, standin.KindDelete, standin.KindReport)},
		{Name: "reads", Unit: unitCount, Value: callsMade(standin.KindGet, standin.KindList)},
	}, nil
}
