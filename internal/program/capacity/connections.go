package capacity

import (
	"context"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

const methodEcho peer.Method = "capacity.echo"

var secret = []byte("secret of the measured processes")

type echo struct {
	Number int `msgpack:"n"`
}

// addressOf is the address of a loopback listener.
func addressOf(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text) // a listener's own address always parses
	return address
}

// connections is the cost of open peer connections that carry nothing but heartbeats.
type connections struct{}

// About implements Slope.
func (connections) About() About {
	return About{
		Name: "connections", Axis: "connection",
		Notes: "Idle peer connections with a heartbeat a second each way; both ends. Opening includes the handshake and one request.",
	}
}

// Sizes implements Slope.
func (connections) Sizes() []int { return []int{1, 75, 150, 300} }

// Measure implements Slope.
func (connections) Measure(ctx context.Context, count int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	before := usedMemory()
	w := &wire{}
	l, err := w.listen(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	registry := peer.NewRegistry()
	peer.Handle(registry, methodEcho, func(_ context.Context, q echo) (echo, error) { return q, nil })
	server := peer.NewServer(ctx, l, registry, secret)
	clients := make([]*peer.Client, count)
	defer func() {
		cancel()
		for _, client := range clients {
			client.Wait()
		}
		_ = server.Close()
	}()
	began, used := time.Now(), usedTime()
	for i := range clients {
		clients[i] = peer.NewClient(ctx, secret)
	}
	if err := askAll(ctx, clients, addressOf(l.Addr().String())); err != nil {
		return nil, err
	}
	opened, opening := time.Since(began), usedTime()-used
	memory := usedMemory() - before
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	seen, err := observe(ctx, w, window)
	return []Figure{
		seen.processorFigure(),
		seen.bytesFigure(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		{Name: "processor time to open", Unit: "µs", Value: float64(opening.Microseconds())},
		{Name: "time to open all at once", Unit: "ms", Value: float64(opened.Microseconds()) / 1e3},
	}, err
}

// askAll opens a connection from each client.
func askAll(ctx context.Context, clients []*peer.Client, to netip.AddrPort) error {
	failures := make([]error, len(clients))
	var asks conc.WaitGroup
	for i, client := range clients {
		asks.Go(func() { _, failures[i] = peer.Call[echo, echo](ctx, client, to, methodEcho, echo{Number: i}) })
	}
	asks.Wait()
	return firstError(failures)
}

func firstError(failures []error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
