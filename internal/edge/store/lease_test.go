package store

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/platform"
)

// keptLease is a carrier that keeps what was written last and answers reads with it.
type keptLease struct{ body []byte }

func (k *keptLease) Carry(_ context.Context, call platform.Call) (platform.Reply, error) {
	if call.Writes() {
		k.body = call.Body
	}
	return platform.Reply{Status: 200, Body: k.body}, nil
}

// The names of the open jobs stand beside the lease: they must reach the next reader, and change nothing for a reader that knows the lease only.
func TestOpenJobsStandBesideTheLease(t *testing.T) {
	carrier := &keptLease{}
	store := New(carrier, carrier, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
	var read []string
	leases := NewLeases(store, func() bool { return false },
		WithOpenJobs(func() []string { return []string{"j1", "j2"} }, func(ids []string) { read = ids }))
	record := lease.Record{Holder: lease.Holder{HostID: "entry-1", Incarnation: 7}, Renewal: 3}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := leases.Put(t.Context(), "lease/duties", value, 0); err != nil {
		t.Fatal(err)
	}
	object, err := leases.Get(t.Context(), "lease/duties")
	if err != nil {
		t.Fatal(err)
	}
	kept, err := lease.ReadRecord(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(kept)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(value), string(again)); diff != "" {
		t.Errorf("the lease changed: %s", diff)
	}
	if diff := cmp.Diff([]string{"j1", "j2"}, read); diff != "" {
		t.Errorf("open jobs: %s", diff)
	}
}
