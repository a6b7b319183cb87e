package bench

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
)

const (
	calls        = 20_000
	openStreams  = 400
	streams      = 64
	streamTokens = 400
	concurrency  = 1000
)

// cost is what a number of units took.
type cost struct {
	times []time.Duration
	cpu   time.Duration
}

func (c cost) quantile(q float64) time.Duration {
	return c.times[min(len(c.times)-1, int(q*float64(len(c.times))))]
}

// cpu is the processor time of this process so far.
func cpu() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// wide is a deployment whose pools run many calls at a time; one zone, so that all calls take the same path.
func wide(b *testing.B, opts ...engine.Option) *world {
	b.Helper()
	d := scenario.Sahil()
	d.AvailabilityZones = d.AvailabilityZones[:1]
	w := newWorld(b, d, opts...)
	pool := func(name string, kind ticket.PoolKind, model string) ticket.Pool {
		return ticket.Pool{
			Name: name, Kind: kind, Model: model, AvailabilityZones: d.AvailabilityZones, MinServers: 1, MaxServers: 1, Concurrency: concurrency,
		}
	}
	w.apply(3, ticket.Ticket{Pools: []ticket.Pool{pool(d.Service, ticket.KindService, ""), pool(d.Model, ticket.KindModel, d.Model)}})
	return w
}

// measure makes calls by a number of callers and returns what they took.
func (w *world) measure(callers, total int, call func() error) cost {
	w.b.Helper()
	each := make([][]time.Duration, callers)
	var group sync.WaitGroup
	before := cpu()
	for caller := range callers {
		group.Go(func() {
			for range total / callers {
				started := time.Now()
				if err := call(); err != nil {
					w.b.Error(err)
					return
				}
				each[caller] = append(each[caller], time.Since(started))
			}
		})
	}
	group.Wait()
	if w.b.Failed() {
		w.b.FailNow()
	}
	c := cost{cpu: cpu() - before, times: slices.Concat(each...)}
	slices.Sort(c.times)
	return c
}

func (w *world) get(url string) func() error {
	return func() error {
		status, body, err := w.do(http.MethodGet, url, w.deployment.Caller, "")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("%s answered %d: %s", url, status, body)
		}
		return err
	}
}

// BenchmarkPath measures what entry and agent add to a call of the plain service.
//
//	go test ./internal/program/bench -run none -bench Path -benchtime 1x
func BenchmarkPath(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				w := wide(b)
				urls := []string{
					w.topology.Targets().Services[0] + w.deployment.LookupPath,
					w.entry() + "/v1/services/" + w.deployment.Service + w.deployment.LookupPath,
				}
				var costs []cost
				for _, url := range urls {
					w.measure(callers, calls/10, w.get(url))
					costs = append(costs, w.measure(callers, calls, w.get(url)))
				}
				direct, path := costs[0], costs[1]
				b.ReportMetric(direct.quantile(0.5).Seconds()*1e6, "direct-p50-us")
				b.ReportMetric(direct.quantile(0.99).Seconds()*1e6, "direct-p99-us")
				b.ReportMetric(path.quantile(0.5).Seconds()*1e6, "path-p50-us")
				b.ReportMetric(path.quantile(0.99).Seconds()*1e6, "path-p99-us")
				b.ReportMetric(calls/(path.cpu-direct.cpu).Seconds(), "requests/s-a-core")
			}
		})
	}
}

// stream opens a generation and reads it to its end; held, if set, is called after the first token.
func (w *world) stream(url, body string, held func()) error {
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+w.deployment.Key(w.deployment.Caller))
	q.Header.Set("Accept", "text/event-stream")
	q.Header.Set("Request-Timeout", "120")
	answer, err := w.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	tokens := 0
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if tokens++; tokens == 1 && held != nil {
			held()
		}
	}
	if answer.StatusCode != http.StatusOK || tokens < 2 {
		return fmt.Errorf("%s answered %d with %d tokens", url, answer.StatusCode, tokens)
	}
	return nil
}

// generations returns the URLs of a generation at the engine itself and through the entry.
func (w *world) generations() []string {
	direct := ""
	for _, place := range w.topology.Places {
		if place.Kind == ticket.KindModel && direct == "" {
			direct = place.Settings.ServerURL + "/generate"
		}
	}
	return []string{direct, w.entry() + "/v1/models/" + w.deployment.Model + "/generate"}
}

// BenchmarkStreams measures the processor time of a streamed token and the memory of an open stream.
//
//	go test ./internal/program/bench -run none -bench Streams -benchtime 1x
func BenchmarkStreams(b *testing.B) {
	for range b.N {
		w := wide(b, engine.WithTokenTime(time.Millisecond, 0), engine.WithSlots(concurrency, concurrency))
		body := fmt.Sprintf(`{"prompt":"x","maxTokens":%d,"stream":true}`, streamTokens)
		var perToken []time.Duration
		var memory []uint64
		for _, url := range w.generations() {
			before := w.generated()
			c := w.measure(streams, 2*streams, func() error { return w.stream(url, body, nil) })
			perToken = append(perToken, c.cpu/time.Duration(w.generated()-before))
		}
		for _, url := range w.generations() {
			memory = append(memory, w.held(url, body))
		}
		b.ReportMetric(float64(perToken[0].Nanoseconds())/1e3, "direct-us/token")
		b.ReportMetric(float64(perToken[1].Nanoseconds())/1e3, "path-us/token")
		b.ReportMetric(1/(perToken[1]-perToken[0]).Seconds(), "tokens/s-a-core")
		b.ReportMetric(float64(memory[0])/1024, "direct-KB/stream")
		b.ReportMetric(float64(memory[1])/1024, "path-KB/stream")
	}
}

// held is the memory of an open stream whose engine has stalled after its first token.
func (w *world) held(url, body string) uint64 {
	w.b.Helper()
	before := inUse()
	var first, all sync.WaitGroup
	first.Add(openStreams)
	for range openStreams {
		all.Go(func() {
			if err := w.stream(url, body, first.Done); err != nil {
				w.b.Error(err)
			}
		})
	}
	first.Wait()
	for _, e := range w.engines {
		e.SetFaults(engine.Faults{Stalled: true})
	}
	after := inUse()
	for _, e := range w.engines {
		e.SetFaults(engine.Faults{})
	}
	all.Wait()
	return (after - before) / openStreams
}

func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
