package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	"github.com/oleandershelf/oleandershelf/internal/standin/engine"
)

const (
	stepGroups  = 16
	stepSamples = 8
	stepTokens  = 100
	measured    = 6
	trainTime   = 2 * time.Second
	engineSlots = 8
)

// batchSeen is what the benchmark reads of a batch.
type batchSeen struct {
	ModelVersion int  `json:"modelVersion"`
	Last         bool `json:"last"`
	Samples      []struct {
		Spans []scenario.SpanSeen `json:"spans"`
	} `json:"samples"`
}

// BenchmarkStep measures a trainer's steps of 128 samples on eight engines: all of them whole, one at a tenth of its speed,
// and one more that has stalled with its streams open. Work is what the engines generated over what the trainer received.
//
//	go test ./internal/program/bench -run none -bench Step -benchtime 1x
func BenchmarkStep(b *testing.B) {
	for _, test := range []struct {
		name   string
		faults []engine.Faults
	}{
		{name: "whole"},
		{name: "slow", faults: []engine.Faults{{SlowFactor: 10}}},
		{name: "slowAndStalled", faults: []engine.Faults{{SlowFactor: 10}, {Stalled: true}}},
	} {
		b.Run(test.name, func(b *testing.B) {
			for range b.N {
				measureSteps(b, test.faults)
			}
		})
	}
}

func measureSteps(b *testing.B, faults []engine.Faults) {
	b.Helper()
	d := scenario.Sahil()
	d.AvailabilityZones = []string{"om-north-a", "om-north-b", "om-south-a", "om-south-b"}
	w := newWorld(b, d, engine.WithTokenTime(5*time.Millisecond, 0.05), engine.WithSlots(engineSlots, 64))
	w.apply(3, ticket.Ticket{
		Pools: []ticket.Pool{{
			Name: d.Model, Kind: ticket.KindModel, Model: d.Model, AvailabilityZones: d.AvailabilityZones,
			MinServers: 2, MaxServers: 2, Concurrency: engineSlots,
		}},
		TrainerJobs: []ticket.TrainerJob{{
			Name: d.Job, Organisation: d.Trainer, Model: d.Model, ScoringPool: d.Scoring,
			BatchSize: 32, StalenessBound: 1, MaxTokens: stepTokens,
		}},
	})
	w.allEngines()
	w.step(1)
	for i, fault := range faults {
		w.engines[3*i].SetFaults(fault)
	}
	versions := fmt.Sprintf("%s/v1/trainerJobs/%s/modelVersions", w.entry(), d.Job)
	before := w.generated()
	received, old, longest := 0, 0, time.Duration(0)
	started := time.Now()
	for number := 2; number < 2+measured; number++ {
		w.until(http.MethodPost, versions, d.Trainer, fmt.Sprintf(`{"version":%d,"weights":"%s/%d"}`, number, d.Model, number))
		began := time.Now()
		tokens, stale := w.step(number)
		longest = max(longest, time.Since(began))
		received, old = received+tokens, old+stale
	}
	took := time.Since(started)
	idle := took.Seconds() / (took + measured*trainTime).Seconds()
	b.ReportMetric(took.Seconds()/measured, "s/step")
	b.ReportMetric(longest.Seconds(), "longest-s")
	b.ReportMetric(idle, "trainer-idle")
	b.ReportMetric(float64(w.generated()-before)/float64(received)-1, "extra-work")
	b.ReportMetric(float64(old)/(measured*stepGroups*stepSamples), "staleness")
}

// allEngines sends calls until each engine has generated.
func (w *world) allEngines() {
	w.b.Helper()
	for end := time.Now().Add(prepareLimit); time.Now().Before(end); {
		serving := 0
		for _, e := range w.engines {
			if e.State().Generated > 0 {
				serving++
			}
		}
		if serving == len(w.engines) {
			return
		}
		body := fmt.Sprintf(`{"prompt":"%d","maxTokens":2}`, time.Now().UnixNano())
		for _, url := range w.topology.Targets().Entries {
			_, _, _ = w.do(http.MethodPost, url+"/v1/models/"+w.deployment.Model+"/generate", w.deployment.Caller, body)
		}
	}
	w.b.Fatal("an engine serves nothing")
}

func (w *world) generated() int {
	total := 0
	for _, e := range w.engines {
		total += e.State().Generated
	}
	return total
}

// step posts a step and takes all its batches; it returns the tokens received and the sum of the samples' staleness.
func (w *world) step(number int) (tokens, stale int) {
	w.b.Helper()
	var groups []string
	for group := range stepGroups {
		groups = append(groups, fmt.Sprintf(`{"prompt":"step %d log %d","samples":%d}`, number, group, stepSamples))
	}
	url := fmt.Sprintf("%s/v1/trainerJobs/%s/steps/%d", w.entry(), w.deployment.Job, number)
	w.until(http.MethodPost, url, w.deployment.Trainer, fmt.Sprintf(`{"groups":[%s],"maxTokens":%d}`, strings.Join(groups, ","), stepTokens))
	for batch, last := 1, false; !last; batch++ {
		var seen batchSeen
		raw := w.until(http.MethodGet, fmt.Sprintf("%s/batches/%d", url, batch), w.deployment.Trainer, "")
		if err := json.Unmarshal(raw, &seen); err != nil {
			w.b.Fatal(err)
		}
		last = seen.Last
		for _, sample := range seen.Samples {
			for _, span := range sample.Spans {
				tokens += span.To - span.From
			}
			stale += seen.ModelVersion - sample.Spans[0].Version
		}
	}
	return tokens, stale
}
