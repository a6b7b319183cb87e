package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const (
	repeats      = 20
	authenticate = 2000
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keys is the cost of the view as the number of keys grows.
type keys struct{}

// About implements Slope.
func (keys) About() About {
	return About{
		Name: "keys", Axis: "key",
		Notes: "The view of 10 organisations that share the keys: memory of head, parts and view, the time to build it, and the time of one authentication. One end, nothing else runs.",
	}
}

// Sizes implements Slope.
func (keys) Sizes() []int { return []int{10, 100, 1000, 5000} }

// Measure implements Slope.
func (keys) Measure(ctx context.Context, count int) ([]Figure, error) {
	const shared = 10
	return measureView(ctx, ticketOf(shared, count/shared))
}

// organisations is the cost of the head and the view as the number of organisations grows.
type organisations struct{}

// About implements Slope.
func (organisations) About() About {
	return About{
		Name: "organisations", Axis: "organisation",
		Notes: "The view of organisations with two keys each. Each change of any part sends the whole head to every host. One end, nothing else runs.",
	}
}

// Sizes implements Slope.
func (organisations) Sizes() []int { return []int{8, 64, 250, 1000} }

// Measure implements Slope.
func (organisations) Measure(ctx context.Context, count int) ([]Figure, error) {
	return measureView(ctx, ticketOf(count, 2))
}

// measureView applies the ticket and measures the view that a host builds of it.
func measureView(ctx context.Context, t ticket.Ticket) ([]Figure, error) {
	store := standin.NewMemory()
	if _, err := applySteady(ctx, store, t); err != nil {
		return nil, err
	}
	head, parts, err := readConfiguration(ctx, store)
	if err != nil {
		return nil, err
	}
	before := usedMemory()
	used := usedTime()
	var view *ticket.View
	for range repeats {
		if view, err = ticket.NewView(1, head.head, parts); err != nil {
			return nil, err
		}
	}
	building := usedTime() - used
	memory := usedMemory() - before
	used = usedTime()
	for range authenticate {
		view.Authenticate("key-0-0")
	}
	authenticating := usedTime() - used
	return []Figure{
		{Name: "head", Unit: unitBytes, Value: float64(head.bytes)},
		{Name: "parts", Unit: unitBytes, Value: float64(totalLength(parts))},
		{Name: "memory of the view beside the parts", Unit: unitBytes, Value: max(memory, 0)},
		{Name: "time to build the view", Unit: "µs", Value: building.Seconds() * microsecondsPerSecond / repeats},
		{Name: "time of an authentication", Unit: "µs", Value: authenticating.Seconds() * microsecondsPerSecond / authenticate},
	}, nil
}

// applySteady applies the ticket after as many others as the head keeps digests of, as after the first hour
// of running, and returns the ticket's number.
func applySteady(ctx context.Context, store platform.Store, t ticket.Ticket) (int, error) {
	publisher := configuration.NewPublisher(store)
	for number := 1; number < ticket.KeptDigests; number++ {
		if err := publisher.Apply(ctx, number, changedKey(number)); err != nil {
			return number, err
		}
	}
	return ticket.KeptDigests, publisher.Apply(ctx, ticket.KeptDigests, t)
}

type storedHead struct {
	head  ticket.Head
	bytes int
}

// readConfiguration reads the head and all its parts.
func readConfiguration(ctx context.Context, store *standin.Memory) (storedHead, map[string][]byte, error) {
	object, err := store.Get(ctx, ticket.HeadObject)
	if err != nil {
		return storedHead{}, nil, err
	}
	head, err := ticket.DecodeHead(object.Value)
	if err != nil {
		return storedHead{}, nil, err
	}
	parts := map[string][]byte{}
	for _, hash := range head.Parts {
		part, err := store.Get(ctx, ticket.PartObject(hash))
		if err != nil {
			return storedHead{}, nil, err
		}
		parts[hash] = part.Value
	}
	return storedHead{head: head, bytes: len(object.Value)}, parts, nil
}

func totalLength(parts map[string][]byte) int {
	total := 0
	for _, content := range parts {
		total += len(content)
	}
	return total
}
