package configuration

import (
	"context"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Status says what became of a ticket.
type Status struct {
	Number     int  `json:"number"`
	Accepted   bool `json:"accepted"`
	LastTicket int  `json:"lastTicket"`
	// Hosts is how many hosts are known; InForce is how many of them are known to have the ticket.
	Hosts   int     `json:"hosts"`
	InForce int     `json:"inForce"`
	Share   float64 `json:"share"`
}

// PublisherOption changes a Publisher.
type PublisherOption func(*Publisher)

// Publisher applies tickets.
type Publisher struct{ store platform.Store }

// NewPublisher returns a publisher that writes to the store.
func NewPublisher(store platform.Store, opts ...PublisherOption) *Publisher {
	p := &Publisher{store: store}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Apply accepts the ticket under its number, or returns a *verdict.Refusal.
func (p *Publisher) Apply(_ context.Context, _ int, _ ticket.Ticket) error { return nil }

// PublishModelVersion sets the version that a model's servers are to serve, without a ticket.
func (p *Publisher) PublishModelVersion(_ context.Context, _ ticket.ModelVersion) error { return nil }

// Status says whether the ticket was accepted and on how many hosts it is in force.
func (p *Publisher) Status(_ context.Context, number int) (Status, error) {
	return Status{Number: number}, nil
}
