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
	stepGroups    = 16
	stepSamples   = 8
	stepTokens    = 100
	measuredSteps = 6
	// trainingTime is the time that a trainer is assumed to spend training on a step.
	trainingTime = 2 * time.Second
	engineSlots  = 8
)

// batch holds the fields of a batch that the benchmark uses.
type batch struct {
	ModelVersion int  `json:"modelVersion"`
	Last         bool `json:"last"`
	Samples      []struct {
		Spans []scenario.VersionSpan `json:"spans"`
	} `json:"samples"`
}

// BenchmarkStep measures a trainer's steps of 128 samples on eight engines: all of them healthy, one running at a tenth of its
// speed, and in addition one that has stalled with its streams open. The metric extra-work is the number of generated tokens
// divided by the number of tokens that the trainer received, minus 1.
//
//	go test ./internal/program/bench -run none -bench Step -benchtime 1x
func BenchmarkStep(b *testing.B) {
	for _, test := range []struct {
		name   string
		faults []engine.Faults
	}{
		{name: "healthy"},
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
	env := newEnvironment(b, d, engine.WithTokenTime(5*time.Millisecond, 0.05), engine.WithSlots(engineSlots, 64))
	env.applyTicket(3, ticket.Ticket{
		Pools: []ticket.Pool{{
			Name: d.Model, Kind: ticket.KindModel, Model: d.Model, AvailabilityZones: d.AvailabilityZones,
			MinServers: 2, MaxServers: 2, Concurrency: engineSlots,
		}},
		TrainerJobs: []ticket.TrainerJob{{
			Name: d.Job, Organisation: d.Trainer, Model: d.Model, ScoringPool: d.Scoring,
			BatchSize: 32, StalenessBound: 1, MaxTokens: stepTokens,
		}},
	})
	env.warmUpEngines()
	env.runStep(1)
	for i, fault := range faults {
		env.engines[3*i].SetFaults(fault)
	}
	versions := fmt.Sprintf("%s/v1/trainerJobs/%s/modelVersions", env.entryURL(), d.Job)
	before := env.generatedTokens()
	received, staleness, longest := 0, 0, time.Duration(0)
	started := time.Now()
	for number := 2; number < 2+measuredSteps; number++ {
		env.waitForOK(http.MethodPost, versions, d.Trainer, fmt.Sprintf(`{"version":%d,"weights":"%s/%d"}`, number, d.Model, number))
		stepStarted := time.Now()
		tokens, stepStaleness := env.runStep(number)
		longest = max(longest, time.Since(stepStarted))
		received, staleness = received+tokens, staleness+stepStaleness
	}
	elapsed := time.Since(started)
	idle := elapsed.Seconds() / (elapsed + measuredSteps*trainingTime).Seconds()
	b.ReportMetric(elapsed.Seconds()/measuredSteps, "s/step")
	b.ReportMetric(longest.Seconds(), "longest-s")
	b.ReportMetric(idle, "trainer-idle")
	b.ReportMetric(float64(env.generatedTokens()-before)/float64(received)-1, "extra-work")
	b.ReportMetric(float64(staleness)/(measuredSteps*stepGroups*stepSamples), "staleness")
}

// warmUpEngines sends requests until every engine has generated tokens.
func (env *environment) warmUpEngines() {
	env.b.Helper()
	for deadline := time.Now().Add(prepareLimit); time.Now().Before(deadline); {
		generating := 0
		for _, e := range env.engines {
			if e.State().Generated > 0 {
				generating++
			}
		}
		if generating == len(env.engines) {
			return
		}
		body := fmt.Sprintf(`{"prompt":"%d","maxTokens":2}`, time.Now().UnixNano())
		for _, url := range env.topology.Targets().Entries {
			_, _, _ = env.do(http.MethodPost, url+"/v1/models/"+env.deployment.Model+"/generate", env.deployment.Caller, body)
		}
	}
	env.b.Fatal("an engine generated no tokens")
}

// generatedTokens returns the number of tokens that all engines have generated so far.
func (env *environment) generatedTokens() int {
	total := 0
	for _, e := range env.engines {
		total += e.State().Generated
	}
	return total
}

// runStep submits a step and reads all its batches. It returns the number of tokens received and the sum of the samples'
// staleness, in model versions.
func (env *environment) runStep(number int) (tokens, staleness int) {
	env.b.Helper()
	var groups []string
	for group := range stepGroups {
		groups = append(groups, fmt.Sprintf(`{"prompt":"step %d log %d","samples":%d}`, number, group, stepSamples))
	}
	url := fmt.Sprintf("%s/v1/trainerJobs/%s/steps/%d", env.entryURL(), env.deployment.Job, number)
	env.waitForOK(http.MethodPost, url, env.deployment.Trainer,
		fmt.Sprintf(`{"groups":[%s],"maxTokens":%d}`, strings.Join(groups, ","), stepTokens))
	for index, last := 1, false; !last; index++ {
		var received batch
		raw := env.waitForOK(http.MethodGet, fmt.Sprintf("%s/batches/%d", url, index), env.deployment.Trainer, "")
		if err := json.Unmarshal(raw, &received); err != nil {
			env.b.Fatal(err)
		}
		last = received.Last
		for _, sample := range received.Samples {
			for _, span := range sample.Spans {
				tokens += span.To - span.From
			}
			staleness += received.ModelVersion - sample.Spans[0].Version
		}
	}
	return tokens, staleness
}
