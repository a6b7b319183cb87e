package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	zoneCount = 22
	// entryShare is the share of entries among the hosts that the system is designed for: 380 of 2,580, about 1 in 7.
	entryShare   = 380.0 / 2580.0
	listInterval = 200 * time.Millisecond
	modelPool    = "model-engines"
)

// hostListExperiment measures the cost of reading the host list from the platform.
type hostListExperiment struct{}

// Description implements Experiment.
func (hostListExperiment) Description() Description {
	return Description{
		Name: "hostList", SizeUnit: "row",
		Notes: "One read of the host list from the stand-in over HTTP, client and stand-in together; decoding alone; and the memory of the list that the client keeps.",
	}
}

// Sizes implements Experiment.
func (hostListExperiment) Sizes() []int { return []int{10, 300, 1000, 2580} }

// Measure implements Experiment.
func (hostListExperiment) Measure(ctx context.Context, rows int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	traffic := &trafficCounter{}
	l, err := traffic.listen(ctx)
	if err != nil {
		return nil, err
	}
	hosts := generateHosts(rows, netip.MustParseAddrPort("10.0.0.1:9000"))
	server, err := newPlatform(ctx, l, hosts)
	if err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	list := membership.NewList(ctx, platform.NewClient("http://"+l.Addr().String()), membership.WithInterval(listInterval))
	defer func() {
		cancel()
		list.Wait()
	}()
	<-list.Loaded()
	memory := memoryInUse() - memoryBefore
	reads := server.Calls()[standin.KindHosts]
	observed, err := observe(ctx, traffic, observationTime/2)
	if err != nil {
		return nil, err
	}
	readsPerSecond := float64(server.Calls()[standin.KindHosts]-reads) / observed.seconds
	decoding, err := decodingTime(list.Hosts())
	return []Metric{
		{Name: "bytes of a read", Unit: unitBytes, Value: observed.bytes / readsPerSecond},
		{Name: "processor time of a read, both ends", Unit: "µs", Value: observed.processor / readsPerSecond},
		{Name: "processor time of decoding", Unit: "µs", Value: decoding},
		{Name: nameMemory, Unit: unitBytes, Value: max(memory, 0)},
	}, err
}

// decodingTime returns the processor time of decoding one response with these hosts, in microseconds.
func decodingTime(hosts []platform.Host) (float64, error) {
	body, err := json.Marshal(platform.HostListResponse{Hosts: hosts})
	if err != nil {
		return 0, err
	}
	processorStart := processorTime()
	for range repeats {
		var response platform.HostListResponse
		if err := json.Unmarshal(body, &response); err != nil {
			return 0, err
		}
	}
	return (processorTime() - processorStart).Seconds() * microsecondsPerSecond / repeats, nil
}

// generateHosts returns live hosts with one address, spread over all zones. entryShare of them are entries, the others agents.
func generateHosts(count int, address netip.AddrPort) []platform.Host {
	hosts := make([]platform.Host, count)
	entries := int(entryShare*float64(count) + 0.5)
	for i := range hosts {
		hosts[i] = platform.Host{
			ID: fmt.Sprintf("host-%05d", i), Role: platform.RoleAgent, Pool: modelPool,
			AvailabilityZone: fmt.Sprintf("zone-%02d", i%zoneCount+1), PeerAddress: address, State: platform.HostLive,
		}
		if i < entries {
			hosts[i].Role, hosts[i].Pool = platform.RoleEntry, ""
		}
	}
	return hosts
}
