package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// newSpeedHandler returns a handler with a number of servers, and lets it observe that one in four of these is fast.
func newSpeedHandler(servers int, now time.Time, observe bool) *gossipHandler {
	h := newTestHandler(1)
	h.gateway.balancer = backend.NewBalancer("self", "north-a", backend.WithSpeedPlacement())
	var list []backend.Server
	for i := range servers {
		list = append(list, backend.Server{ID: fmt.Sprintf("engine-%02d", i), Pool: "engines", Slots: 8, Started: now})
	}
	h.gateway.balancer.Sync(now, list)
	for at := now.Add(-8 * time.Second); observe && at.Before(now); at = at.Add(250 * time.Millisecond) {
		for i, server := range list {
			interval := 57 * time.Millisecond
			if i%4 == 0 {
				interval = 26 * time.Millisecond
			}
			h.gateway.balancer.RecordEventInterval(at, server.ID, interval)
		}
	}
	return h
}

// Guards against an entry that starts and knows no speeds: the heartbeats of one other entry must tell it all of them, at no more than 50
// bytes for each server.
func TestHeartbeatsCarrySpeeds(t *testing.T) {
	now := time.Now()
	sender, recipient := newSpeedHandler(20, now, true), newSpeedHandler(20, now, false)
	for range 3 {
		speeds := sender.speeds(now, true)
		if encoded, err := msgpack.Marshal(speeds); err != nil || len(speeds) > maxSpeeds || len(encoded) > maxSpeeds*50 {
			t.Errorf("%d speeds in %d bytes, %v", len(speeds), len(encoded), err)
		}
		recipient.gateway.balancer.MergeSpeeds(now, speeds)
		now = now.Add(300 * time.Millisecond)
	}
	fast, _ := recipient.gateway.balancer.Estimate(now, "engine-04")
	slow, _ := recipient.gateway.balancer.Estimate(now, "engine-05")
	if !recipient.gateway.balancer.Uneven("engines") || fast.Lasting > 0.6 || slow.Lasting < 0.9 {
		t.Errorf("fast %+v, slow %+v", fast, slow)
	}
	recipient.speeds(now, false)
	if len(recipient.unevenPools) != 1 {
		t.Errorf("logged as uneven: %v", recipient.unevenPools)
	}
}

// Guards against a metric for each of two thousand servers.
func TestSpeedMetricsAreBounded(t *testing.T) {
	for servers, want := range map[int]int{20: 20, 80: 5} {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(speedCollector{balancer: newSpeedHandler(servers, time.Now(), true).gateway.balancer})
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		for _, family := range families {
			counts[family.GetName()] = len(family.GetMetric())
		}
		if counts["oleandershelf_server_lasting_factor"] != want || counts["oleandershelf_pool_uneven"] != 1 {
			t.Errorf("%d servers: %v", servers, counts)
		}
	}
}
