// Package service is a small stand-in for an HTTP service. It echoes requests, and counts the runs of each booking by the ID in
// its body, so that tests detect a call that ran twice. It records the calls that it receives.
package service

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// PathBookings is the path for bookings; requests to other paths are echoed.
const PathBookings = "/bookings"

// maxReceived is the maximum number of recorded calls.
const maxReceived = 10_000

// Faults are the injected faults; the zero value is a healthy service.
type Faults struct {
	// Hold delays calls until it is turned off.
	Hold bool `json:"hold"`
	// DelayMilliseconds delays each call before it runs. For a held call, the delay starts when Hold is turned off.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// CutAfterRun is the number of calls that run and whose connection is then cut.
	CutAfterRun int `json:"cutAfterRun"`
	// CutBeforeRun is the number of calls whose connection is cut before they run.
	CutBeforeRun int `json:"cutBeforeRun"`
	// FailStatus is the status with which all calls are rejected without running; 0 is off.
	FailStatus int `json:"failStatus"`
}

// ReceivedCall is a call as the service received it.
type ReceivedCall struct {
	Method string                `json:"method"`
	Path   string                `json:"path"`
	Query  string                `json:"query"`
	Header []request.HeaderField `json:"header"`
	Body   string                `json:"body"`
}

// Booking is the body of a booking request; other fields are ignored.
type Booking struct {
	ID string `json:"id"`
}

// BookingResult is the response to a booking.
type BookingResult struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// State is a snapshot of the service for tests and debugging.
type State struct {
	// Runs counts the runs of each booking by ID; a count above 1 means that a booking ran twice.
	Runs     map[string]int `json:"runs"`
	Received []ReceivedCall `json:"received"`
	Faults   Faults         `json:"faults"`
}

// Server is one service.
type Server struct {
	*web.Server
	web.FaultInjector[Faults]

	mutex    sync.Mutex
	runs     map[string]int
	received []ReceivedCall
}

// New serves a service on the listener until ctx ends.
func New(ctx context.Context, listener net.Listener) (*Server, error) {
	server := &Server{Server: web.NewServer(ctx, listener), runs: make(map[string]int)}
	app := web.NewApp()
	web.HandleFaults(app, server.CurrentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	app.Use(server.applyFaults)
	app.Post(PathBookings, server.book)
	app.Use(server.echo)
	server.Serve(app)
	return server, nil
}

// State returns a snapshot of the service.
func (s *Server) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return State{Runs: maps.Clone(s.runs), Received: slices.Clone(s.received), Faults: s.CurrentFaults()}
}

// applyFaults records the call and applies the faults that precede a run.
func (s *Server) applyFaults(c fiber.Ctx) error {
	s.record(newReceivedCall(c))
	if s.Consume(func(f *Faults) *int { return &f.CutBeforeRun }) {
		return web.CutAnswer(c)
	}
	if status := s.CurrentFaults().FailStatus; status != 0 {
		return c.SendStatus(status)
	}
	if !s.wait() {
		return web.CutAnswer(c)
	}
	return c.Next()
}

// wait waits until the call may run: until no calls are held, and then for the delay. It returns false if the service ends first.
func (s *Server) wait() bool {
	faults, changed := s.Watch()
	for faults.Hold {
		select {
		case <-s.Context().Done():
			return false
		case <-changed:
			faults, changed = s.Watch()
		}
	}
	timer := time.NewTimer(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-s.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) record(call ReceivedCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.received) < maxReceived {
		s.received = append(s.received, call)
	}
}

// book runs a booking and responds with the number of its runs.
func (s *Server) book(c fiber.Ctx) error {
	var booking Booking
	if !web.Decode(c, &booking) {
		return nil
	}
	runs, cut := s.run(booking.ID)
	if cut {
		return web.CutAnswer(c)
	}
	return c.Status(http.StatusCreated).JSON(BookingResult{ID: booking.ID, Runs: runs})
}

// run counts a run and reports whether its connection is to be cut.
func (s *Server) run(id string) (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
	return s.runs[id], s.Consume(func(f *Faults) *int { return &f.CutAfterRun })
}

func (s *Server) echo(c fiber.Ctx) error {
	if _, cut := s.run(c.Method() + " " + c.OriginalURL()); cut {
		return web.CutAnswer(c)
	}
	raw, err := json.Marshal(newReceivedCall(c))
	if err != nil {
		return c.Status(http.StatusInternalServerError).SendString(err.Error())
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(raw)
}

func newReceivedCall(c fiber.Ctx) ReceivedCall {
	call := ReceivedCall{
		Method: c.Method(),
		Path:   c.Path(),
		Query:  string(c.RequestCtx().QueryArgs().QueryString()),
		Body:   string(c.Body()),
	}
	for name, value := range c.RequestCtx().Request.Header.All() {
		call.Header = append(call.Header, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return call
}
