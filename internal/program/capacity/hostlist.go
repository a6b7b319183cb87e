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
	zones = 22
	// entryShare is one entry in about seven hosts: 380 of 2,580.
	entryShare   = 380.0 / 2580.0
	listInterval = 200 * time.Millisecond
	modelPool    = "model-engines"
)

// hostList is the cost of reading the host list from the platform.
type hostList struct{}

// About implements Slope.
func (hostList) About() About {
	return About{
		Name: "hostList", Axis: "row",
		Notes: "One read of the host list from the stand-in over HTTP, client and stand-in together; decoding alone; and the memory of the kept list.",
	}
}

// Sizes implements Slope.
func (hostList) Sizes() []int { return []int{10, 300, 1000, 2580} }

// Measure implements Slope.
func (hostList) Measure(ctx context.Context, rows int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wire{}
	l, err := w.listen(ctx)
	if err != nil {
		return nil, err
	}
	hosts := rowsOf(rows, netip.MustParseAddrPort("10.0.0.1:9000"))
	server, err := newPlatform(ctx, l, hosts)
	if err != nil {
		return nil, err
	}
	before := usedMemory()
	list := membership.NewList(ctx, platform.NewClient("http://"+l.Addr().String()), membership.WithInterval(listInterval))
	defer func() {
		cancel()
		list.Wait()
	}()
	<-list.Loaded()
	memory := usedMemory() - before
	reads := server.Calls()[standin.KindHosts]
	seen, err := observe(ctx, w, window/2)
	if err != nil {
		return nil, err
	}
	count := float64(server.Calls()[standin.KindHosts]-reads) / seen.seconds
	decoding, err := decodingTime(list.Hosts())
	return []Figure{
		{Name: "bytes of a read", Unit: unitBytes, Value: seen.bytes / count},
		{Name: "processor time of a read, both ends", Unit: "µs", Value: seen.processor / count},
		{Name: "processor time of decoding", Unit: "µs", Value: decoding},
		{Name: nameMemory, Unit: unitBytes, Value: max(memory, 0)},
	}, err
}

// decodingTime is what the reading host alone spends on a read's body, in microseconds.
func decodingTime(hosts []platform.Host) (float64, error) {
	body, err := json.Marshal(platform.HostListResponse{Hosts: hosts})
	if err != nil {
		return 0, err
	}
	used := usedTime()
	for range repeats {
		var rows platform.HostListResponse
		if err := json.Unmarshal(body, &rows); err != nil {
			return 0, err
		}
	}
	return (usedTime() - used).Seconds() * microsecondsPerSecond / repeats, nil
}

// rowsOf returns so many live hosts over all zones, entries and agents as at the size to design for.
func rowsOf(count int, address netip.AddrPort) []platform.Host {
	hosts := make([]platform.Host, count)
	entries := int(entryShare*float64(count) + 0.5)
	for i := range hosts {
		hosts[i] = platform.Host{
			ID: fmt.Sprintf("host-%05d", i), Role: platform.RoleAgent, Pool: modelPool,
			AvailabilityZone: fmt.Sprintf("zone-%02d", i%zones+1), PeerAddress: address, State: platform.HostLive,
		}
		if i < entries {
			hosts[i].Role, hosts[i].Pool = platform.RoleEntry, ""
		}
	}
	return hosts
}
