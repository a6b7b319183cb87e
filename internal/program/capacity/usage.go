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

// cellsOf returns a count for each organisation and agent in the window. Agents' incarnations and the amounts are
// as random as those of a deployment, since the length of a stored count depends on them.
func cellsOf(organisations, agents int, windowStart int64) []usage.Count {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // the same sizes at each run are wanted
	incarnations := make([]uint64, agents)
	for i := range incarnations {
		incarnations[i] = random.Uint64()
	}
	counts := make([]usage.Count, 0, organisations*agents)
	for o := range organisations {
		for _, incarnation := range incarnations {
			cell := usage.Cell{Agent: incarnation, Organisation: fmt.Sprintf("organisation-%04d", o), Window: windowStart}
			counts = append(counts, usage.Count{Cell: cell, Amount: grown(usage.Amount{}, 1+random.Uint64N(200))})
		}
	}
	return counts
}

// grown is the amount after so many requests more.
func grown(amount usage.Amount, requests uint64) usage.Amount {
	const (
		tokens = 371
		took   = 7_481_293_731 * time.Nanosecond
	)
	return amount.Plus(usage.Amount{Requests: requests, Tokens: requests * tokens, ServerTime: time.Duration(requests) * took})
}

// carriedStore counts the bytes of the objects that are read and written.
type carriedStore struct {
	platform.Store
	bytes int
}

// Get implements platform.Store.
func (c *carriedStore) Get(ctx context.Context, name string) (platform.Object, error) {
	object, err := c.Store.Get(ctx, name)
	c.bytes += len(object.Value)
	return object, err
}

// Put implements platform.Store.
func (c *carriedStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	c.bytes += len(value)
	return c.Store.Put(ctx, name, value, ifVersion)
}

// usageCells is the cost of a flush of usage counts at a relay.
type usageCells struct{}

// About implements Slope.
func (usageCells) About() About {
	return About{
		Name: "usageCells", Axis: "count",
		Notes: "A relay's flush of so many growing counts of one window of eight organisations into the object API, in memory. A third of the counts grows before each flush, as of 1,900 counts of a zone do at 40 requests/s within 15 s. Bytes of the objects read and written, of the counts as agents hand them over, and the memory of ledger and collector. One end.",
	}
}

// Sizes implements Slope.
func (usageCells) Sizes() []int { return []int{8, 64, 248, 1000, 1904, 4000} }

// Measure implements Slope.
func (usageCells) Measure(ctx context.Context, cells int) ([]Figure, error) {
	const (
		organisations = 8
		grownPart     = 3
		flushes       = 3 * repeats
	)
	memory := standin.NewMemory()
	store := &carriedStore{Store: memory}
	counts := cellsOf(organisations, cells/organisations, usage.WindowStart(time.Now(), billing.DefaultWindow))
	handed, err := msgpack.Marshal(counts)
	if err != nil {
		return nil, err
	}
	before := usedMemory()
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithWriter("entry-1"), billing.WithFlushInterval(0))
	collector.Merge(counts...)
	if err := collector.Flush(ctx); err != nil {
		return nil, err
	}
	used, calls, carried := usedTime(), memory.Calls(), store.bytes
	for round := range flushes {
		for i := range counts {
			if (i+round)%grownPart == 0 {
				counts[i].Amount = grown(counts[i].Amount, 1)
			}
		}
		collector.Merge(counts...)
		if err := collector.Flush(ctx); err != nil {
			return nil, err
		}
	}
	spent := usedTime() - used
	carried = store.bytes - carried
	held := usedMemory() - before
	runtime.KeepAlive(collector)
	runtime.KeepAlive(counts)
	stored, err := memory.List(ctx, billing.CountsPrefix)
	length := 0
	for _, object := range stored {
		length += len(object.Value)
	}
	made := memory.Calls()
	return []Figure{
		{Name: "processor time of a flush", Unit: "µs", Value: spent.Seconds() * microsecondsPerSecond / flushes},
		{Name: "bytes read and written a flush", Unit: unitBytes, Value: float64(carried) / flushes},
		{Name: "bytes handed over", Unit: unitBytes, Value: float64(len(handed))},
		{Name: "bytes of the stored objects", Unit: unitBytes, Value: float64(length)},
		{Name: nameMemory + ", stored objects included", Unit: unitBytes, Value: max(held, 0)},
		{Name: "writes a flush", Unit: unitCount, Value: float64(made[standin.KindPut]-calls[standin.KindPut]) / flushes},
		{Name: "reads a flush", Unit: unitCount, Value: float64(made[standin.KindGet]-calls[standin.KindGet]) / flushes},
	}, err
}

// flushAll flushes until all is stored: a flush that meets a full object only divides it.
func flushAll(ctx context.Context, collector *billing.Collector) error {
	const tries = 6
	var err error
	for range tries {
		if err = collector.Flush(ctx); err == nil {
			return nil
		}
	}
	return err
}

// soleDuty is held all the time.
type soleDuty struct{}

// Held implements billing.Duty.
func (soleDuty) Held(now time.Time) (platform.Version, time.Time, bool) {
	return 1, now.Add(time.Minute), true
}

// highestHeap watches the heap, which is collected often meanwhile, until the function that it returns is called;
// that function returns the highest size seen. The processor time of the collections is part of what is measured.
func highestHeap(ctx context.Context) func() float64 {
	const (
		garbagePercent = 10
		every          = time.Millisecond
	)
	percent := debug.SetGCPercent(garbagePercent)
	ctx, cancel := context.WithCancel(ctx)
	highest := 0.0
	var watching conc.WaitGroup
	watching.Go(func() {
		samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		for pause(ctx, every) == nil {
			metrics.Read(samples)
			highest = max(highest, float64(samples[0].Value.Uint64()))
		}
	})
	return func() float64 {
		cancel()
		watching.Wait()
		debug.SetGCPercent(percent)
		return highest
	}
}

// closings is the cost of closing a usage window.
type closings struct{}

// About implements Slope.
func (closings) About() About {
	return About{
		Name: "closings", Axis: "organisation",
		Notes: "Closing one usage window in which each organisation has counts of a hundred agents: freezing, reporting, cleaning; closer and stand-in in memory together, with a collection of garbage at each tenth of growth.",
	}
}

// Sizes implements Slope.
func (closings) Sizes() []int { return []int{8, 64, 250, 1000} }

// Measure implements Slope.
func (closings) Measure(ctx context.Context, organisations int) ([]Figure, error) {
	const agents = 100
	store := standin.NewMemory()
	now := time.Now()
	windowStart := usage.WindowStart(now, billing.DefaultWindow) - usage.WindowSeconds(billing.DefaultWindow)
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithWriter("entry-1"), billing.WithFlushInterval(0))
	collector.Merge(cellsOf(organisations, agents, windowStart)...)
	if err := flushAll(ctx, collector); err != nil {
		return nil, err
	}
	closer := billing.NewCloser(ctx, store, soleDuty{}, billing.WithCheckInterval(0), billing.WithGrace(0))
	before, calls := usedMemory(), store.Calls()
	highest := highestHeap(ctx)
	used, began := usedTime(), time.Now()
	if err := closer.CloseDue(ctx); err != nil {
		return nil, err
	}
	spent, took := usedTime()-used, time.Since(began)
	peak := highest()
	made := func(kinds ...standin.CallKind) float64 {
		sum := 0
		for _, kind := range kinds {
			sum += store.Calls()[kind] - calls[kind]
		}
		return float64(sum)
	}
	return []Figure{
		{Name: nameProcessor, Unit: "ms", Value: spent.Seconds() * 1e3},
		{Name: "time", Unit: "ms", Value: took.Seconds() * 1e3},
		{Name: "growth of memory, stored objects included", Unit: unitBytes, Value: max(usedMemory()-before, 0)},
		{Name: "highest growth of the heap in between", Unit: unitBytes, Value: max(peak-before, 0)},
		{Name: "writes and reports", Unit: unitCount, Value: made(standin.KindPut, standin.KindDelete, standin.KindReport)},
		{Name: "reads", Unit: unitCount, Value: made(standin.KindGet, standin.KindList)},
	}, nil
}
