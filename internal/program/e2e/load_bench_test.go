package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
)

const (
	loadDuration = 20 * time.Second
	loadTimeout  = "5"
	loadTokens   = 50
	// saturatingCallers is twice the slots of all engines: 2 zones x 2 engines x 4 slots.
	saturatingCallers = 32
)

// BenchmarkLoad measures with separate processes what the core packages are tested for in virtual time: goodput at three
// times the capacity relative to goodput at capacity, and the service that an organisation with low load gets beside
// one that overloads the pool.
//
//	go test ./internal/program/e2e -run none -bench Load -benchtime 1x
func BenchmarkLoad(b *testing.B) {
	for range b.N {
		d := scenario.Sahil()
		c := newCluster(b, d)
		ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
		defer cancel()
		if err := scenario.NewRunner(d, c.topology.Targets(), b.Logf).Prepare(ctx); err != nil {
			b.Fatal(err)
		}
		c.orderAllServers(d)
		capacity := c.closedLoop(d, d.Caller, saturatingCallers)
		overload := c.openLoop(map[string]float64{d.Caller: 1.5 * capacity.rate, d.Trainer: 1.5 * capacity.rate}, d)
		hot := c.openLoop(map[string]float64{d.Caller: 3 * capacity.rate, d.Withdrawn: 0.2 * capacity.rate}, d)
		b.ReportMetric(capacity.rate, "capacity/s")
		b.ReportMetric((overload[d.Caller].rate+overload[d.Trainer].rate)/capacity.rate, "goodput-at-3x")
		b.ReportMetric(min(overload[d.Caller].rate, overload[d.Trainer].rate)/(capacity.rate/2), "worst-share-at-3x")
		b.ReportMetric(hot[d.Withdrawn].rate/(0.2*capacity.rate), "modest-served")
		b.ReportMetric(hot[d.Withdrawn].p99.Seconds(), "modest-p99-s")
		b.ReportMetric(hot[d.Caller].p99.Seconds(), "hot-p99-s")
		b.ReportMetric(overload[d.Caller].refusalP99.Seconds(), "refusal-p99-s")
	}
}

// loadResult summarises what one organisation received: successful responses per second, the p99 latency of those
// and the p99 latency of all other outcomes.
type loadResult struct {
	rate       float64
	p99        time.Duration
	refusalP99 time.Duration
}

// orderAllServers sets the model pool's minimum to all engines, so that the capacity doesn't change during the
// measurement.
func (c *cluster) orderAllServers(d scenario.Deployment) {
	change := ticket.Ticket{Pools: []ticket.Pool{{
		Name: d.Model, Kind: ticket.KindModel, Model: d.Model, AvailabilityZones: d.AvailabilityZones,
		MinServers: 2, MaxServers: 2, Concurrency: 4,
	}}}
	if status := c.applyTicket(c.topology.Targets().Entry, 3, change); status != http.StatusOK {
		c.t.Fatalf("ticket: got status %d", status)
	}
	time.Sleep(12 * time.Second)
}

// recorder collects the latencies of one organisation's requests.
type recorder struct {
	mu        sync.Mutex
	successes []time.Duration
	refusals  []time.Duration
}

func (r *recorder) record(took time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.successes = append(r.successes, took)
		return
	}
	r.refusals = append(r.refusals, took)
}

func (r *recorder) result() loadResult {
	return loadResult{rate: float64(len(r.successes)) / loadDuration.Seconds(), p99: p99(r.successes), refusalP99: p99(r.refusals)}
}

// p99 sorts times and returns their 99th percentile, or 0 if there are none.
func p99(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// generate sends one generation to either entry, chosen by the length of the prompt, and reports whether it succeeded.
func (c *cluster) generate(d scenario.Deployment, organisation, prompt string) bool {
	url := "http://" + c.topology.Entries[len(prompt)%2].Listen.String() + "/v1/models/" + d.Model + "/generate"
	request, err := http.NewRequest(http.MethodPost, url,
		strings.NewReader(fmt.Sprintf(`{"prompt":%q,"maxTokens":%d}`, prompt, loadTokens)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+d.Key(organisation))
	request.Header.Set("Request-Timeout", loadTimeout)
	response, err := loadClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}

// closedLoop runs callers that each send the next request after the previous response, for loadDuration.
func (c *cluster) closedLoop(d scenario.Deployment, organisation string, callers int) loadResult {
	var r recorder
	var group sync.WaitGroup
	end := time.Now().Add(loadDuration)
	for caller := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				started := time.Now()
				ok := c.generate(d, organisation, fmt.Sprintf("%s %d", strings.Repeat("x", caller%2), caller*1000+i))
				r.record(time.Since(started), ok)
			}
		})
	}
	group.Wait()
	return r.result()
}

// openLoop sends requests at each organisation's rate per second for loadDuration, regardless of the responses.
func (c *cluster) openLoop(rates map[string]float64, d scenario.Deployment) map[string]loadResult {
	recorders := map[string]*recorder{}
	var group sync.WaitGroup
	for organisation, rate := range rates {
		r := &recorder{}
		recorders[organisation] = r
		group.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer ticker.Stop()
			end := time.Now().Add(loadDuration)
			for i := 0; time.Now().Before(end); i++ {
				<-ticker.C
				group.Go(func() {
					started := time.Now()
					ok := c.generate(d, organisation, fmt.Sprintf("%s %d", strings.Repeat("x", i%2), i))
					r.record(time.Since(started), ok)
				})
			}
		})
	}
	group.Wait()
	results := map[string]loadResult{}
	for organisation, r := range recorders {
		results[organisation] = r.result()
	}
	return results
}
