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
	loadTime    = 20 * time.Second
	loadTimeout = "5"
	loadTokens  = 50
	// saturating is twice the slots of all engines: 2 zones x 2 engines x 4 slots.
	saturating = 32
)

// BenchmarkLoad confirms on separate processes what the decision modules promise in virtual time: goodput at three
// times the capacity against goodput at capacity, and what a modest organisation gets beside a hot one.
//
//	go test ./internal/program/e2e -run none -bench Load -benchtime 1x
func BenchmarkLoad(b *testing.B) {
	for range b.N {
		d := scenario.Sahil()
		c := newCluster(b, d)
		ctx, cancel := context.WithTimeout(context.Background(), playLimit)
		defer cancel()
		if err := scenario.NewPlayer(d, c.topology.Targets(), b.Logf).Prepare(ctx); err != nil {
			b.Fatal(err)
		}
		c.allServers(d)
		capacity := c.closedLoop(d, d.Caller, saturating)
		overload := c.openLoop(map[string]float64{d.Caller: 1.5 * capacity.rate, d.Trainer: 1.5 * capacity.rate}, d)
		hot := c.openLoop(map[string]float64{d.Caller: 3 * capacity.rate, d.Leaver: 0.2 * capacity.rate}, d)
		b.ReportMetric(capacity.rate, "capacity/s")
		b.ReportMetric((overload[d.Caller].rate+overload[d.Trainer].rate)/capacity.rate, "goodput-at-3x")
		b.ReportMetric(min(overload[d.Caller].rate, overload[d.Trainer].rate)/(capacity.rate/2), "worst-share-at-3x")
		b.ReportMetric(hot[d.Leaver].rate/(0.2*capacity.rate), "modest-served")
		b.ReportMetric(hot[d.Leaver].p99.Seconds(), "modest-p99-s")
		b.ReportMetric(hot[d.Caller].p99.Seconds(), "hot-p99-s")
		b.ReportMetric(overload[d.Caller].refusalP99.Seconds(), "refusal-p99-s")
	}
}

// served is what one organisation received.
type served struct {
	rate       float64
	p99        time.Duration
	refusalP99 time.Duration
}

// allServers orders every engine, so that the capacity doesn't change during the measurement.
func (c *cluster) allServers(d scenario.Deployment) {
	change := ticket.Ticket{Pools: []ticket.Pool{{
		Name: d.Model, Kind: ticket.KindModel, Model: d.Model, AvailabilityZones: d.AvailabilityZones,
		MinServers: 2, MaxServers: 2, Concurrency: 4,
	}}}
	if status := c.applyTicket(c.topology.Targets().Entry, 3, change); status != http.StatusOK {
		c.t.Fatalf("ticket answered %d", status)
	}
	time.Sleep(12 * time.Second)
}

// tally collects answers of one organisation.
type tally struct {
	mu       sync.Mutex
	whole    []time.Duration
	refusals []time.Duration
}

func (t *tally) add(took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.whole = append(t.whole, took)
		return
	}
	t.refusals = append(t.refusals, took)
}

func (t *tally) served() served {
	return served{rate: float64(len(t.whole)) / loadTime.Seconds(), p99: p99(t.whole), refusalP99: p99(t.refusals)}
}

func p99(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

func (c *cluster) generate(d scenario.Deployment, organisation, prompt string) bool {
	url := "http://" + c.topology.Entries[len(prompt)%2].Listen.String() + "/v1/models/" + d.Model + "/generate"
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"prompt":%q,"maxTokens":%d}`, prompt, loadTokens)))
	if err != nil {
		return false
	}
	q.Header.Set("Authorization", "Bearer "+d.Key(organisation))
	q.Header.Set("Request-Timeout", loadTimeout)
	response, err := loadClient.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}

// closedLoop keeps callers busy and returns what they were served.
func (c *cluster) closedLoop(d scenario.Deployment, organisation string, callers int) served {
	var t tally
	var group sync.WaitGroup
	end := time.Now().Add(loadTime)
	for caller := range callers {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				started := time.Now()
				ok := c.generate(d, organisation, fmt.Sprintf("%s %d", strings.Repeat("x", caller%2), caller*1000+i))
				t.add(time.Since(started), ok)
			}
		})
	}
	group.Wait()
	return t.served()
}

// openLoop sends requests of each organisation at its rate, whatever becomes of them.
func (c *cluster) openLoop(rates map[string]float64, d scenario.Deployment) map[string]served {
	tallies := map[string]*tally{}
	var group sync.WaitGroup
	for organisation, rate := range rates {
		t := &tally{}
		tallies[organisation] = t
		group.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer ticker.Stop()
			end := time.Now().Add(loadTime)
			for i := 0; time.Now().Before(end); i++ {
				<-ticker.C
				group.Go(func() {
					started := time.Now()
					ok := c.generate(d, organisation, fmt.Sprintf("%s %d", strings.Repeat("x", i%2), i))
					t.add(time.Since(started), ok)
				})
			}
		})
	}
	group.Wait()
	result := map[string]served{}
	for organisation, t := range tallies {
		result[organisation] = t.served()
	}
	return result
}
