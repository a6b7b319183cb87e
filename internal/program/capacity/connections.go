package capacity

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const methodEcho peer.Method = "capacity.echo"

var peerSecret = []byte("secret of the measured processes")

// echo is the request and the response of methodEcho.
type echo struct {
	Number int `msgpack:"n"`
}

// parseAddress parses the address of a loopback listener.
func parseAddress(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text) // a listener's own address always parses
	return address
}

// connectionExperiment measures the cost of open peer connections that carry only heartbeats.
type connectionExperiment struct{}

// Description implements Experiment.
func (connectionExperiment) Description() Description {
	return Description{
		Name: "connections", SizeUnit: "connection",
		Notes: "Idle peer connections with one heartbeat per second in each direction; both ends. Opening includes the handshake and one request.",
	}
}

// Sizes implements Experiment.
func (connectionExperiment) Sizes() []int { return []int{1, 75, 150, 300} }

// Measure implements Experiment.
func (connectionExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	memoryBefore := memoryInUse()
	traffic := &trafficCounter{}
	l, err := traffic.listen(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	registry := peer.NewRegistry()
	peer.Handle(registry, methodEcho, func(_ context.Context, request echo) (echo, error) { return request, nil })
	server := peer.NewServer(ctx, l, registry, peerSecret)
	clients := make([]*peer.Client, count)
	defer func() {
		cancel()
		for _, client := range clients {
			client.Wait()
		}
		_ = server.Close()
	}()
	started, processorStart := time.Now(), processorTime()
	for i := range clients {
		clients[i] = peer.NewClient(ctx, peerSecret)
	}
	if err := callAll(ctx, clients, parseAddress(l.Addr().String())); err != nil {
		return nil, err
	}
	openTime, openProcessorTime := time.Since(started), processorTime()-processorStart
	memory := memoryInUse() - memoryBefore
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	observed, err := observe(ctx, traffic, observationTime)
	return []Metric{
		observed.processorMetric(),
		observed.bytesMetric(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "processor time to open", Unit: "µs", Value: float64(openProcessorTime.Microseconds())},
		{Name: "time to open all at once", Unit: "ms", Value: float64(openTime.Microseconds()) / 1e3},
	}, err
}

// callAll sends one request from each client at the same time, which opens the clients' connections.
func callAll(ctx context.Context, clients []*peer.Client, to netip.AddrPort) error {
	errs := make([]error, len(clients))
	var calls conc.WaitGroup
	for i, client := range clients {
		calls.Go(func() { _, errs[i] = peer.Call[echo, echo](ctx, client, to, methodEcho, echo{Number: i}) })
	}
	calls.Wait()
	return firstError(errs)
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
