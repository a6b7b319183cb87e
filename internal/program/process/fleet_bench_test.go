package process

import (
	"fmt"
	"net/netip"
	goruntime "runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	fleetEngines = 403
	// fleetChangesPerSecond is how many engines' registrations change in a second while six trainers name a version every four seconds.
	fleetChangesPerSecond = 100
	fleetSettleTime       = 8 * time.Second
	fleetObservationTime  = 10 * time.Second
)

// BenchmarkIdleEntries measures entries that run no request, while registrations of engines change as they do when weights are loaded. All
// entries run in this process together with the fake store, so the figures for an entry are upper bounds.
//
//	go test ./internal/program/process -run none -bench IdleEntries -benchtime 1x -cpuprofile FILE
func BenchmarkIdleEntries(b *testing.B) {
	for _, entries := range []int{24, 48, 96} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for range b.N {
				measureIdleEntries(b, entries)
			}
		})
	}
}

func measureIdleEntries(b *testing.B, entries int) {
	debug.SetGCPercent(gcPercent)
	store := platformtest.NewStore(b)
	usageReceiver := platformtest.NewUsageReceiver(b)
	var engines []*platformtest.Server
	for i := range fleetEngines {
		engine := platformtest.NewServer(b, fmt.Sprintf("engine-%d", i), "engines", map[string]int{"m": 1})
		store.Register(engine, false)
		engines = append(engines, engine)
	}
	store.Configure(1, hostName, "m", []platformtest.Route{{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second}},
		map[string][]string{"north": {keyNorth}})
	var seeds []netip.AddrPort
	for i := range entries {
		d := deployment{store: store, usageReceiver: usageReceiver}
		set := d.settings(fmt.Sprintf("entry-%d", i), store.NewEndpoint(b))
		set.Seeds = seeds
		set.ProcessorCores = 1
		gateway, err := StartGateway(b.Context(), set, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(gateway.Close)
		if len(seeds) < 3 {
			seeds = append(seeds, set.PeerListen)
		}
	}
	stop := changeEngines(store, engines)
	defer stop()
	time.Sleep(fleetSettleTime)
	var memoryBefore, memory goruntime.MemStats
	goruntime.ReadMemStats(&memoryBefore)
	before, callsBefore := processorTime(b), len(store.Calls())
	time.Sleep(fleetObservationTime)
	used, calls := processorTime(b)-before, len(store.Calls())-callsBefore
	goruntime.ReadMemStats(&memory)
	perEntry := float64(entries) * fleetObservationTime.Seconds()
	b.ReportMetric(float64(used.Microseconds())/perEntry, "us/s/entry")
	b.ReportMetric(float64(memory.TotalAlloc-memoryBefore.TotalAlloc)/perEntry/(1<<10), "KB/s/entry")
	b.ReportMetric(float64(goruntime.NumGoroutine())/float64(entries), "goroutines/entry")
	b.ReportMetric(float64(memory.HeapAlloc)/float64(entries)/(1<<20), "MB/entry")
	b.ReportMetric(float64(calls)/fleetObservationTime.Seconds(), "storeCalls/s")
	b.ReportMetric(0, "ns/op")
}

// changeEngines changes the registrations of the engines in turn until the returned function is called.
func changeEngines(store *platformtest.Store, engines []*platformtest.Server) (stop func()) {
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		ticker := time.NewTicker(time.Second / fleetChangesPerSecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			store.RegisterWithVersion(engines[i%len(engines)], "m", 2+i/len(engines))
		}
	})
	return func() {
		close(done)
		work.Wait()
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
