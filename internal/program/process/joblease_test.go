package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/program/loopback"
	"github.com/oleandershelf/oleandershelf/internal/program/scenario"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// A trainer's requests reach any entry, but only three entries contend for the job's lease. An entry that neither holds
// the lease nor contends for it must find the holder and forward the request. Otherwise the trainer's requests would be
// refused for as long as its load balancer uses that entry.
func TestEveryEntryFindsTheCoordinator(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := scenario.Sahil()
	d.AvailabilityZones = []string{"a", "b", "c", "d", "e", "f"}
	topology, err := scenario.NewTopology(d, loopback.NewAllocator())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", topology.Platform.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := standin.New(ctx, l, standin.WithHosts(topology.Hosts())); err != nil {
		t.Fatal(err)
	}
	for _, set := range topology.Entries {
		entry, err := StartEntry(ctx, set, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer entry.Close()
	}
	urls := topology.Targets().Entries
	key := d.Key(d.Trainer)
	post(t, urls[0]+"/v1/tickets/1", "", ticket.Ticket{
		Organisations: []ticket.Organisation{{Name: d.Trainer, Weight: 1, KeyHashes: []string{ticket.KeyHash(key)}}},
		Pools:         []ticket.Pool{{Name: d.Model, Kind: ticket.KindModel, Model: d.Model}},
		TrainerJobs:   []ticket.TrainerJob{{Name: d.Job, Organisation: d.Trainer, Model: d.Model, BatchSize: 4, StalenessBound: 1}},
	})
	step := json.RawMessage(`{"groups":[{"prompt":"p","samples":4}],"maxTokens":4}`)
	for _, url := range urls {
		path := fmt.Sprintf("%s/v1/trainerJobs/%s/steps/1", url, d.Job)
		if body := post(t, path, key, step); body != `{"step":1,"samples":4,"batches":1}` {
			t.Errorf("%s answered %s", url, body)
		}
	}
}

// post repeats a request until the response is 200, because leases are taken a few seconds after the start.
func post(t *testing.T, url, key string, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	last := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(raw))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return string(body)
		}
		last = fmt.Sprintf("%d %s", response.StatusCode, body)
	}
	t.Fatalf("%s: %s", url, last)
	return ""
}
