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
	// repeats is how often a short operation is run for one value.
	repeats         = 20
	authentications = 2000
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keyExperiment measures the cost of a host's view of the configuration as the number of keys grows.
type keyExperiment struct{}

// Description implements Experiment.
func (keyExperiment) Description() Description {
	return Description{
		Name: "keys", SizeUnit: "key",
		Notes: "The configuration view of 10 organisations with an equal number of keys each: memory of head, parts and view, the time to build the view, and the time of one authentication. One host; nothing else runs.",
	}
}

// Sizes implements Experiment.
func (keyExperiment) Sizes() []int { return []int{10, 100, 1000, 5000} }

// Measure implements Experiment.
func (keyExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	const organisationCount = 10
	return measureView(ctx, newTicket(organisationCount, count/organisationCount))
}

// organisationExperiment measures the cost of the head of the configuration and of a host's view as the number of
// organisations grows.
type organisationExperiment struct{}

// Description implements Experiment.
func (organisationExperiment) Description() Description {
	return Description{
		Name: "organisations", SizeUnit: "organisation",
		Notes: "The configuration view of organisations with two keys each. After a change of any part, the relays and all hosts without the previous revision read the whole head. One host; nothing else runs.",
	}
}

// Sizes implements Experiment.
func (organisationExperiment) Sizes() []int { return []int{8, 64, 250, 1000} }

// Measure implements Experiment.
func (organisationExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	return measureView(ctx, newTicket(count, 2))
}

// measureView applies the ticket and measures the view that a host builds from it.
func measureView(ctx context.Context, t ticket.Ticket) ([]Metric, error) {
	store := standin.NewMemory()
	if _, err := applyWithFullDigests(ctx, store, t); err != nil {
		return nil, err
	}
	head, parts, err := readConfiguration(ctx, store)
	if err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	processorStart := processorTime()
	var view *ticket.View
	for range repeats {
		if view, err = ticket.NewView(1, head.head, parts); err != nil {
			return nil, err
		}
	}
	buildTime := processorTime() - processorStart
	memory := memoryInUse() - memoryBefore
	processorStart = processorTime()
	for range authentications {
		view.Authenticate("key-0-0")
	}
	authenticationTime := processorTime() - processorStart
	return []Metric{
		{Name: "head", Unit: unitBytes, Value: float64(head.bytes)},
		{Name: "parts", Unit: unitBytes, Value: float64(totalLength(parts))},
		{Name: "memory of the view beside the parts", Unit: unitBytes, Value: max(memory, 0)},
		{Name: "time to build the view", Unit: "µs", Value: buildTime.Seconds() * microsecondsPerSecond / repeats},
		{Name: "time of an authentication", Unit: "µs", Value: authenticationTime.Seconds() * microsecondsPerSecond / authentications},
	}, nil
}

// applyWithFullDigests applies other tickets first, so that the head holds as many digests as it keeps, as it does after
// the first hour of a deployment. Then it applies the given ticket and returns its number.
func applyWithFullDigests(ctx context.Context, store platform.Store, t ticket.Ticket) (int, error) {
	publisher := configuration.NewPublisher(store)
	for number := 1; number < ticket.KeptDigests; number++ {
		if err := publisher.Apply(ctx, number, keyChangeTicket(number)); err != nil {
			return number, err
		}
	}
	return ticket.KeptDigests, publisher.Apply(ctx, ticket.KeptDigests, t)
}

// storedHead is a head with the length of its stored object.
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
