// Package trainer is the edge to trainers.
package trainer

import (
	"context"

	"github.com/gofiber/fiber/v3"
)

// Coordinator serves the trainer API and coordinates the jobs whose lease this host holds.
type Coordinator struct {
	deps Deps
}

// Option changes a Coordinator.
type Option func(*Coordinator)

// New returns a coordinator that runs until the context ends.
func New(_ context.Context, deps Deps, opts ...Option) *Coordinator {
	c := &Coordinator{deps: deps}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// RegisterHTTP adds the routes of the trainer API.
func (c *Coordinator) RegisterHTTP(_ *fiber.App) {}

// State returns the dump.
func (c *Coordinator) State() any { return nil }
