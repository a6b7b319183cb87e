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
	callCount    = 20_000
	openStreams  = 400
	streamCount  = 64
	streamTokens = 400
	concurrency  = 1000
)

// cost holds the sorted latencies of a number of calls and the CPU time that this process spent meanwhile.
type cost struct {
	latencies []time.Duration
	cpu       time.Duration
}

// quantile returns the q-quantile of the latencies, with q from 0 to 1.
func (c cost) quantile(q float64) time.Duration {
	return c.latencies[min(len(c.latencies)-1, int(q*float64(len(c.latencies))))]
}

// cpuTime returns the CPU time that this process has used so far, or 0 if it is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newConcurrentEnvironment starts a deployment whose pools run up to concurrency calls at a time. It has one availability zone,
// so that all calls take the same path.
func newConcurrentEnvironment(b *testing.B, opts ...engine.Option) *environment {
	b.Helper()
	d := scenario.Sahil()
	d.AvailabilityZones = d.AvailabilityZones[:1]
	env := newEnvironment(b, d, opts...)
	pool := func(name string, kind ticket.PoolKind, model string) ticket.Pool {
		return ticket.Pool{
			Name: name, Kind: kind, Model: model, AvailabilityZones: d.AvailabilityZones, MinServers: 1, MaxServers: 1, Concurrency: concurrency,
		}
	}
	env.applyTicket(3, ticket.Ticket{Pools: []ticket.Pool{pool(d.Service, ticket.KindService, ""), pool(d.Model, ticket.KindModel, d.Model)}})
	return env
}

// measure runs total calls, divided among concurrent callers, and returns their cost. An error fails the benchmark.
func (env *environment) measure(callers, total int, call func() error) cost {
	env.b.Helper()
	latencies := make([][]time.Duration, callers)
	var group sync.WaitGroup
	before := cpuTime()
	for caller := range callers {
		group.Go(func() {
			for range total / callers {
				started := time.Now()
				if err := call(); err != nil {
					env.b.Error(err)
					return
				}
				latencies[caller] = append(latencies[caller], time.Since(started))
			}
		})
	}
	group.Wait()
	if env.b.Failed() {
		env.b.FailNow()
	}
	c := cost{cpu: cpuTime() - before, latencies: slices.Concat(latencies...)}
	slices.Sort(c.latencies)
	return c
}

// get returns a function that sends a GET request and returns an error unless the status is 200.
func (env *environment) get(url string) func() error {
	return func() error {
		status, body, err := env.do(http.MethodGet, url, env.deployment.Caller, "")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("%s responded with status %d: %s", url, status, body)
		}
		return err
	}
}

// BenchmarkPath measures the latency and CPU time that entry and agent add to a call of the plain service.
//
//	go test ./internal/program/bench -run none -bench Path -benchtime 1x
func BenchmarkPath(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				env := newConcurrentEnvironment(b)
				urls := []string{
					env.topology.Targets().Services[0] + env.deployment.LookupPath,
					env.entryURL() + "/v1/services/" + env.deployment.Service + env.deployment.LookupPath,
				}
				var costs []cost
				for _, url := range urls {
					env.measure(callers, callCount/10, env.get(url))
					costs = append(costs, env.measure(callers, callCount, env.get(url)))
				}
				direct, path := costs[0], costs[1]
				b.ReportMetric(direct.quantile(0.5).Seconds()*1e6, "direct-p50-us")
				b.ReportMetric(direct.quantile(0.99).Seconds()*1e6, "direct-p99-us")
				b.ReportMetric(path.quantile(0.5).Seconds()*1e6, "path-p50-us")
				b.ReportMetric(path.quantile(0.99).Seconds()*1e6, "path-p99-us")
				b.ReportMetric(callCount/(path.cpu-direct.cpu).Seconds(), "requests/s-a-core")
			}
		})
	}
}

// stream opens a streamed generation and reads it to the end; onFirstToken, if not nil, is called after the first token.
func (env *environment) stream(url, body string, onFirstToken func()) error {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+env.deployment.Key(env.deployment.Caller))
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Request-Timeout", "120")
	response, err := env.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	tokens := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if tokens++; tokens == 1 && onFirstToken != nil {
			onFirstToken()
		}
	}
	if response.StatusCode != http.StatusOK || tokens < 2 {
		return fmt.Errorf("%s responded with status %d and %d tokens", url, response.StatusCode, tokens)
	}
	return nil
}

// generationURLs returns two URLs for generations: directly at an engine, and through the entry.
func (env *environment) generationURLs() []string {
	direct := ""
	for _, place := range env.topology.Agents {
		if place.Kind == ticket.KindModel && direct == "" {
			direct = place.Settings.ServerURL + "/generate"
		}
	}
	return []string{direct, env.entryURL() + "/v1/models/" + env.deployment.Model + "/generate"}
}

// BenchmarkStreams measures the CPU time of a streamed token and the memory of an open stream.
//
//	go test ./internal/program/bench -run none -bench Streams -benchtime 1x
func BenchmarkStreams(b *testing.B) {
	for range b.N {
		env := newConcurrentEnvironment(b, engine.WithTokenTime(time.Millisecond, 0), engine.WithSlots(concurrency, concurrency))
		body := fmt.Sprintf(`{"prompt":"x","maxTokens":%d,"stream":true}`, streamTokens)
		var perToken []time.Duration
		var memory []uint64
		for _, url := range env.generationURLs() {
			before := env.generatedTokens()
			c := env.measure(streamCount, 2*streamCount, func() error { return env.stream(url, body, nil) })
			perToken = append(perToken, c.cpu/time.Duration(env.generatedTokens()-before))
		}
		for _, url := range env.generationURLs() {
			memory = append(memory, env.streamMemory(url, body))
		}
		b.ReportMetric(float64(perToken[0].Nanoseconds())/1e3, "direct-us/token")
		b.ReportMetric(float64(perToken[1].Nanoseconds())/1e3, "path-us/token")
		b.ReportMetric(1/(perToken[1]-perToken[0]).Seconds(), "tokens/s-a-core")
		b.ReportMetric(float64(memory[0])/1024, "direct-KB/stream")
		b.ReportMetric(float64(memory[1])/1024, "path-KB/stream")
	}
}

// streamMemory returns the memory per open stream, in bytes, while the engines have stalled after the first token of each.
func (env *environment) streamMemory(url, body string) uint64 {
	env.b.Helper()
	before := memoryInUse()
	var started, finished sync.WaitGroup
	started.Add(openStreams)
	for range openStreams {
		finished.Go(func() {
			if err := env.stream(url, body, started.Done); err != nil {
				env.b.Error(err)
			}
		})
	}
	started.Wait()
	for _, e := range env.engines {
		e.SetFaults(engine.Faults{Stalled: true})
	}
	after := memoryInUse()
	for _, e := range env.engines {
		e.SetFaults(engine.Faults{})
	}
	finished.Wait()
	return (after - before) / openStreams
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
