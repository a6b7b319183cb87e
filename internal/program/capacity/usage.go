package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/billing"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// cellsOf returns a count for each organisation and agent in the window.
func cellsOf(organisations, agents int, windowStart int64) []usage.Count {
	counts := make([]usage.Count, 0, organisations*agents)
	for o := range organisations {
		for a := range agents {
			counts = append(counts, usage.Count{
				Cell:   usage.Cell{Agent: 1<<60 + uint64(a), Organisation: fmt.Sprintf("organisation-%04d", o), Window: windowStart},
				Amount: usage.Amount{Requests: 12, Tokens: 4000, ServerTime: 90 * time.Second},
			})
		}
	}
	return counts
}

// usageCells is the cost of a flush of usage counts at a relay.
type usageCells struct{}

// About implements Slope.
func (usageCells) About() About {
	return About{
		Name: "usageCells", Axis: "count",
		Notes: "A relay's flush of so many growing counts of one window into the object API, in memory; the bytes of the counts as agents hand them over; and the memory of ledger and collector. One end.",
	}
}

// Sizes implements Slope.
func (usageCells) Sizes() []int { return []int{8, 64, 250, 1000, 4000} }

// Measure implements Slope.
func (usageCells) Measure(ctx context.Context, cells int) ([]Figure, error) {
	store := standin.NewMemory()
	counts := cellsOf(cells, 1, usage.WindowStart(time.Now(), billing.DefaultWindow))
	handed, err := msgpack.Marshal(counts)
	if err != nil {
		return nil, err
	}
	before := usedMemory()
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithFlushInterval(0))
	collector.Merge(counts...)
	if err := collector.Flush(ctx); err != nil {
		return nil, err
	}
	memory := usedMemory() - before
	used, calls := usedTime(), store.Calls()
	for round := range repeats {
		for i := range counts {
			counts[i].Amount.Requests = uint64(100 + round)
		}
		collector.Merge(counts...)
		if err := collector.Flush(ctx); err != nil {
			return nil, err
		}
	}
	spent := usedTime() - used
	stored, err := store.List(ctx, billing.CountsPrefix)
	length := 0
	for _, object := range stored {
		length += len(object.Value)
	}
	return []Figure{
		{Name: "processor time of a flush", Unit: "µs", Value: spent.Seconds() * microsecondsPerSecond / repeats},
		{Name: "bytes handed over", Unit: unitBytes, Value: float64(len(handed))},
		{Name: "bytes of the stored object", Unit: unitBytes, Value: float64(length)},
		{Name: nameMemory, Unit: unitBytes, Value: max(memory, 0)},
		{Name: "writes a flush", Unit: unitCount, Value: float64(store.Calls()[standin.KindPut]-calls[standin.KindPut]) / repeats},
		{Name: "reads a flush", Unit: unitCount, Value: float64(store.Calls()[standin.KindGet]-calls[standin.KindGet]) / repeats},
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

// closings is the cost of closing a usage window.
type closings struct{}

// About implements Slope.
func (closings) About() About {
	return About{
		Name: "closings", Axis: "organisation",
		Notes: "Closing one usage window in which each organisation has counts of ten agents: freezing, reporting, cleaning; closer and stand-in in memory together.",
	}
}

// Sizes implements Slope.
func (closings) Sizes() []int { return []int{8, 64, 250, 1000} }

// Measure implements Slope.
func (closings) Measure(ctx context.Context, organisations int) ([]Figure, error) {
	const agents = 10
	store := standin.NewMemory()
	now := time.Now()
	windowStart := usage.WindowStart(now, billing.DefaultWindow) - usage.WindowSeconds(billing.DefaultWindow)
	collector := billing.NewCollector(ctx, store, usage.NewLedger(), measuredZone, billing.WithFlushInterval(0))
	collector.Merge(cellsOf(organisations, agents, windowStart)...)
	if err := flushAll(ctx, collector); err != nil {
		return nil, err
	}
	closer := billing.NewCloser(ctx, store, soleDuty{}, billing.WithCheckInterval(0), billing.WithGrace(0))
	before, used, began, calls := usedMemory(), usedTime(), time.Now(), store.Calls()
	if err := closer.CloseDue(ctx); err != nil {
		return nil, err
	}
	spent, took := usedTime()-used, time.Since(began)
	made := func(kinds ...standin.Kind) float64 {
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
		{Name: "writes and reports", Unit: unitCount, Value: made(standin.KindPut, standin.KindDelete, standin.KindReport)},
		{Name: "reads", Unit: unitCount, Value: made(standin.KindGet, standin.KindList)},
	}, nil
}
