// Package service is a small stand-in for a plain service: an echo, and bookings that count each
// run by the id in their body, so that a test sees a call that ran twice. It records what it receives.
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

// PathBookings takes bookings; every other path is echoed.
const PathBookings = "/bookings"

// maxReceived bounds the record of received calls.
const maxReceived = 10_000

// Faults are the switches of the stand-in; the zero value is a healthy service.
type Faults struct {
	// Hold keeps calls from running until it is switched off.
	Hold bool `json:"hold"`
	// DelayMilliseconds passes before a call runs; a call that was held waits for it after that.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// CutAfterRun is the number of calls that run and whose connection is then cut.
	CutAfterRun int `json:"cutAfterRun"`
	// CutBeforeRun is the number of calls that are cut without running.
	CutBeforeRun int `json:"cutBeforeRun"`
	// FailStatus answers all calls with the status and runs none; 0 is off.
	FailStatus int `json:"failStatus"`
}

// Received is one call as it came.
type Received struct {
	Method string                `json:"method"`
	Path   string                `json:"path"`
	Query  string                `json:"query"`
	Header []request.HeaderField `json:"header"`
	Body   string                `json:"body"`
}

// Booking is the body of a booking; other fields are kept out.
type Booking struct {
	ID string `json:"id"`
}

// Booked answers a booking.
type Booked struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// State is the content of the stand-in, for tests and dumps.
type State struct {
	// Runs counts bookings by id; a count above 1 is a double run.
	Runs     map[string]int `json:"runs"`
	Received []Received     `json:"received"`
	Faults   Faults         `json:"faults"`
}

// Server is one plain service.
type Server struct {
	*web.Server
	web.Switches[Faults]

	mutex    sync.Mutex
	runs     map[string]int
	received []Received
}

// New serves a plain service on the listener until the context ends.
func New(ctx context.Context, listener net.Listener) (*Server, error) {
	server := &Server{Server: web.NewServer(ctx, listener), runs: make(map[string]int)}
	app := web.NewApp()
	web.HandleFaults(app, server.CurrentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	app.Use(server.enter)
	app.Post(PathBookings, server.book)
	app.Use(server.echo)
	server.Serve(app)
	return server, nil
}

// State returns the content of the stand-in.
func (s *Server) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return State{Runs: maps.Clone(s.runs), Received: slices.Clone(s.received), Faults: s.CurrentFaults()}
}

// enter records the call and applies the switches that come before a run.
func (s *Server) enter(c fiber.Ctx) error {
	s.record(received(c))
	if s.Spend(func(f *Faults) *int { return &f.CutBeforeRun }) {
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

// wait returns once the call may run: when no calls are held and then the delay has passed. It returns false if the
// service ended first.
func (s *Server) wait() bool {
	faults, switched := s.Watch()
	for faults.Hold {
		select {
		case <-s.Context().Done():
			return false
		case <-switched:
			faults, switched = s.Watch()
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

func (s *Server) record(call Received) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.received) < maxReceived {
		s.received = append(s.received, call)
	}
}

// book runs a booking, which must not run twice.
func (s *Server) book(c fiber.Ctx) error {
	var booking Booking
	if !web.Decode(c, &booking) {
		return nil
	}
	runs, cut := s.run(booking.ID)
	if cut {
		return web.CutAnswer(c)
	}
	return c.Status(http.StatusCreated).JSON(Booked{ID: booking.ID, Runs: runs})
}

// run counts a run, and reports whether its answer is to be cut.
func (s *Server) run(id string) (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
	return s.runs[id], s.Spend(func(f *Faults) *int { return &f.CutAfterRun })
}

func (s *Server) echo(c fiber.Ctx) error {
	if _, cut := s.run(c.Method() + " " + c.OriginalURL()); cut {
		return web.CutAnswer(c)
	}
	raw, err := json.Marshal(received(c))
	if err != nil {
		return c.Status(http.StatusInternalServerError).SendString(err.Error())
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(raw)
}

func received(c fiber.Ctx) Received {
	call := Received{
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
