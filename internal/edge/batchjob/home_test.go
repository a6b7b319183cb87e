package batchjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// entries are a host and those that it hears of.
type entries struct {
	self   string
	others []gossip.Member
}

func (e entries) Self() gossip.Member { return gossip.Member{HostID: e.self} }

func (e entries) Alive(time.Time) []gossip.Member { return append([]gossip.Member(nil), e.others...) }

func (e entries) Find(_ time.Time, hostID string) (gossip.Member, bool) {
	for _, member := range e.others {
		if member.HostID == hostID {
			return member, true
		}
	}
	return gossip.Member{}, false
}

// keptJob is a store that holds one job without pages and end.
type keptJob struct {
	Store
	spec batch.Job
}

func (k keptJob) Get(_ context.Context, kind, name string) (product.Object, error) {
	if kind != KindJobs || name != k.spec.ID {
		return product.Object{}, product.ErrNotFound
	}
	value, err := json.Marshal(k.spec)
	return product.Object{Name: name, Value: value}, err
}

// An entry accepted a job, was told to stop a moment later and handed the job over, before anybody had heard that it leaves. The other one
// took it for alive and left the job with it, and the items stood still for more than a second. Asked by a third one, it must leave a job
// that a living entry runs where it is.
func TestAJobIsTakenFromTheEntryThatHandsItOver(t *testing.T) {
	for _, test := range []struct {
		name  string
		asks  string
		owner string
		runs  bool
	}{
		{name: "its owner", asks: "leaving", owner: "leaving", runs: true},
		{name: "the entry that accepted it a moment ago", asks: "leaving", runs: true},
		{name: "another, while its owner lives", asks: "third", owner: "leaving"},
		{name: "another, while the entry that accepted it lives", asks: "third"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			spec := batch.Job{ID: "j", Organisation: "north", Accepted: time.Now(), Owner: "leaving", Submission: batch.Submission{Items: []batch.Item{{ID: "a"}}}}
			m := NewManager(ctx, Deps{
				Store:   keptJob{spec: spec},
				Book:    backend.NewBook("self", "north-a"),
				Members: entries{self: "self", others: []gossip.Member{{HostID: "leaving"}, {HostID: "third"}}},
				Outage:  func(time.Time) bool { return false },
				Demand:  func() batch.Demand { return batch.Demand{} },
				Metrics: NewMetrics(prometheus.NewRegistry()),
				Log:     zerolog.Nop(),
			}, peer.NewRegistry())
			defer m.Wait()
			defer cancel()
			if test.owner != "" {
				m.noteOwner("j", test.owner)
			}
			if err := m.runFor(ctx, RunRequest{Job: "j", Organisation: "north", From: test.asks}); err != nil {
				t.Fatal(err)
			}
			j, _ := m.find("j")
			if runs := j != nil && j.running(); runs != test.runs {
				t.Errorf("runs: %v", runs)
			}
		})
	}
}
