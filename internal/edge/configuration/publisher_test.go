package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/refusal"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// faultyStore is a store whose hook decides what happens to each call.
type faultyStore struct {
	platform.Store
	// hook returns the fault of a call: "" for none, or one of the constants below.
	hook func(call, name string) string
	// delayedWrites are writes whose senders have given up; they may still take effect.
	delayedWrites []func()
}

// The faults of a call, and the steps of Apply at which they are injected.
const (
	faultUnavailable = "down"          // refused before any effect
	faultAnswerLost  = "lost"          // took effect, the response is lost
	faultRequestLost = "never ran"     // the request is lost
	faultDelayed     = "late"          // the response is lost, takes effect later
	stepHead         = "put head"      // commits the change
	stepPart         = "put part"      // precedes the head
	stepGet          = "get head"      // the first read
	stepSettle       = "get head late" // the read after a lost response
)

func (s *faultyStore) Get(ctx context.Context, name string) (platform.Object, error) {
	// Parts are read by several goroutines at once, but a schedule has only one.
	if name == ticket.HeadObject && s.hook("get", name) != "" {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, name)
}

func (s *faultyStore) Watch(ctx context.Context, name string, after platform.Version, wait time.Duration) (platform.Object, error) {
	if s.hook("watch", name) != "" {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, name, after, min(wait, time.Millisecond))
}

func (s *faultyStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	// A write in flight is not cancelled when its sender stops waiting.
	uncancelled := context.WithoutCancel(ctx)
	put := func() (platform.Version, error) { return s.Store.Put(uncancelled, name, value, ifVersion) }
	switch s.hook("put", name) {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultRequestLost:
		return 0, platform.ErrOutcomeUnknown
	case faultDelayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = put() })
		return 0, platform.ErrOutcomeUnknown
	case faultAnswerLost:
		_, _ = put()
		return 0, platform.ErrOutcomeUnknown
	}
	return put()
}

// fakeClock is a clock that advances at each reading and each pause.
type fakeClock struct{ now time.Time }

func (c *fakeClock) readTime() time.Time {
	c.now = c.now.Add(20 * time.Millisecond)
	return c.now
}

func (c *fakeClock) sleep(_ context.Context, d time.Duration) { c.now = c.now.Add(d) }

func testPublisher(store platform.Store) *Publisher {
	c := &fakeClock{now: time.Unix(0, 0)}
	return NewPublisher(store, withTime(c.readTime, c.sleep))
}

func weightTicket(name string, weight int) ticket.Ticket {
	return ticket.Ticket{Organisations: []ticket.Organisation{{Name: name, Weight: float64(weight)}}}
}

func currentHead(t interface{ Fatal(...any) }, store platform.Store) ticket.Head {
	object, err := store.Get(context.Background(), ticket.HeadObject)
	if errors.Is(err, platform.ErrNotFound) {
		return ticket.Head{}
	}
	if err != nil {
		t.Fatal(err)
	}
	head, err := ticket.DecodeHead(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// accepted reports whether the ticket is accepted under the number.
func accepted(t interface{ Fatal(...any) }, store platform.Store, number int, sent ticket.Ticket) bool {
	digest, err := ticket.Digest(sent)
	if err != nil {
		t.Fatal(err)
	}
	return currentHead(t, store).NumberStatus(number, digest) == ticket.NumberAccepted
}

// TestApplyUnderFaults guards against "not run" for a ticket that is in force, or "accepted" for one that is not. Each
// step of applying the first ticket fails in each possible way.
func TestApplyUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		step    string
		fault   string
		times   int
		verdict verdict.Verdict // 0: accepted
		reason  verdict.Reason
	}{
		{"down at the read", stepGet, faultUnavailable, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"down at a part", stepPart, faultUnavailable, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"part's answer lost", stepPart, faultAnswerLost, 1, 0, ""},
		{"part lost for good", stepPart, faultRequestLost, 9, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"down at the head", stepHead, faultUnavailable, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"head's answer lost", stepHead, faultAnswerLost, 1, 0, ""},
		{"head never written", stepHead, faultRequestLost, 1, 0, ""},
		{"head written late", stepHead, faultDelayed, 1, 0, ""},
		{"head's answer lost, then down", stepSettle, faultAnswerLost, 999, verdict.MayHaveRun, verdict.ReasonTicketUnsettled},
		{"head never written, then down", stepSettle, faultRequestLost, 999, verdict.MayHaveRun, verdict.ReasonTicketUnsettled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := standin.NewMemory()
			remaining := test.times
			failing := false
			store := &faultyStore{Store: memory, hook: func(call, name string) string {
				step := call + " " + name
				if call == "put" && name != ticket.HeadObject {
					step = stepPart
				}
				if test.step == stepSettle && step == stepHead && !failing {
					failing = true
					return test.fault
				}
				if (step == test.step || failing) && remaining > 0 {
					remaining--
					return test.fault
				}
				return ""
			}}
			err := testPublisher(store).Apply(context.Background(), 1, weightTicket("sahil", 2))
			checkRefusal(t, err, test.verdict, test.reason)
			for _, put := range store.delayedWrites {
				put()
			}
			isAccepted := accepted(t, memory, 1, weightTicket("sahil", 2))
			if test.verdict == 0 && !isAccepted || test.verdict == verdict.NotRun && isAccepted {
				t.Errorf("accepted %v after Apply returned %v", isAccepted, err)
			}
		})
	}
}

func checkRefusal(t *testing.T, err error, want verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	if want == 0 {
		if err != nil {
			t.Errorf("refused: %v", err)
		}
		return
	}
	refusal, ok := verdict.As(err)
	if !ok || refusal.Verdict != want || refusal.Reason != reason {
		t.Errorf("error %v, want %v %s", err, want, reason)
	}
}

func TestApplyOrder(t *testing.T) {
	store := standin.NewMemory()
	p := testPublisher(&faultyStore{Store: store, hook: func(string, string) string { return "" }})
	apply := func(number, weight int) error {
		return p.Apply(context.Background(), number, weightTicket("sahil", weight))
	}
	checkRefusal(t, apply(1, 1), 0, "")
	checkRefusal(t, apply(1, 1), 0, "")
	checkRefusal(t, apply(1, 2), verdict.NotRun, verdict.ReasonTicketTaken)
	checkRefusal(t, apply(0, 2), verdict.NotRun, verdict.ReasonBadRequest)
	early := apply(3, 3)
	checkRefusal(t, early, verdict.NotRun, verdict.ReasonTicketEarly)
	if want := "ticket 3 is early: ticket 2 is expected"; verdict.From(early).Detail != want {
		t.Errorf("detail %q, want %q", verdict.From(early).Detail, want)
	}
	for number := 2; number <= ticket.KeptDigests+1; number++ {
		checkRefusal(t, apply(number, number), 0, "")
	}
	forgotten := apply(1, 1)
	checkRefusal(t, forgotten, verdict.NotRun, verdict.ReasonTicketTaken)
	if status := refusal.Status(verdict.From(forgotten)); status != http.StatusConflict {
		t.Errorf("status %d", status)
	}
}

// TestEarlyTicketWaits applies the predecessor while the ticket waits for it.
func TestEarlyTicketWaits(t *testing.T) {
	memory := standin.NewMemory()
	other := testPublisher(memory)
	applied := false
	store := &faultyStore{Store: memory, hook: func(call, _ string) string {
		if call == "watch" && !applied {
			applied = true
			checkRefusal(t, other.Apply(context.Background(), 1, weightTicket("sahil", 1)), 0, "")
		}
		return ""
	}}
	checkRefusal(t, testPublisher(store).Apply(context.Background(), 2, weightTicket("sahil", 2)), 0, "")
}

func TestPublishModelVersion(t *testing.T) {
	store := standin.NewMemory()
	p := testPublisher(store)
	pools := ticket.Ticket{Pools: []ticket.Pool{{Name: "draftmodel", Kind: ticket.KindModel, Model: "fees"}}}
	checkRefusal(t, p.Apply(context.Background(), 1, pools), 0, "")
	publish := func(model string, version int) error {
		return p.PublishModelVersion(context.Background(), ticket.ModelVersion{Model: model, Version: version})
	}
	checkRefusal(t, publish("fees", 2), 0, "")
	checkRefusal(t, publish("fees", 2), 0, "")
	checkRefusal(t, publish("fees", 1), verdict.NotRun, verdict.ReasonFenced)
	checkRefusal(t, publish("other", 1), verdict.NotRun, verdict.ReasonBadRequest)
	store.LoseAnswers(1)
	checkRefusal(t, publish("fees", 3), 0, "")
	head := currentHead(t, store)
	want := map[string]ticket.ModelVersion{"fees": {Model: "fees", Version: 3}}
	if diff := cmp.Diff(want, head.ModelVersions); diff != "" || head.LastTicket != 1 {
		t.Errorf("last ticket %d, versions (-want +got):\n%s", head.LastTicket, diff)
	}
}

// sentTicket is a ticket that an operator sent, with the result.
type sentTicket struct {
	number int
	ticket ticket.Ticket
	err    error
}

// TestRacingOperators runs random schedules of operators that race for the next number. It guards against two tickets
// under one number, a ticket that is partly in force, a wrong "not run", and a configuration that goes back. Any call
// may fail before or after its effect, take effect late, or be overtaken by a whole ticket of another operator.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := standin.NewMemory()
		schedule := &raceSchedule{t: t, memory: memory}
		schedule.store = &faultyStore{Store: memory, hook: schedule.hook}
		for range rapid.IntRange(1, 6).Draw(t, "tickets") {
			schedule.send()
		}
		schedule.injecting = false
		for _, put := range schedule.store.delayedWrites {
			put()
		}
		schedule.check()
	})
}

// raceSchedule is one schedule.
type raceSchedule struct {
	t         *rapid.T
	memory    *standin.Memory
	store     *faultyStore
	nesting   int
	count     int
	sent      []sentTicket
	injecting bool
	heads     []ticket.Head
}

// send sends one operator's ticket, under the next number or one near it.
func (r *raceSchedule) send() {
	r.count++
	next := currentHead(r.t, r.memory).LastTicket + rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(r.t, "number")
	change := weightTicket(fmt.Sprintf("organisation-%d", rapid.IntRange(0, 1).Draw(r.t, "organisation")), r.count)
	r.injecting = true
	err := testPublisher(r.store).Apply(context.Background(), next, change)
	r.sent = append(r.sent, sentTicket{number: next, ticket: change, err: err})
}

func (r *raceSchedule) hook(string, string) string {
	if !r.injecting {
		return ""
	}
	r.recordHead()
	drawn := rapid.SampledFrom([]string{"", "", "", "race", faultUnavailable, faultAnswerLost, faultRequestLost, faultDelayed, "apply late"}).Draw(r.t, "fault")
	switch drawn {
	case "race":
		if r.nesting < 2 && r.count < 8 {
			r.nesting++
			r.send()
			r.nesting--
		}
		return ""
	case "apply late":
		for _, put := range r.store.delayedWrites {
			put()
		}
		r.store.delayedWrites = nil
		return ""
	}
	return drawn
}

// recordHead keeps the current head, and checks that its parts exist and that it follows the previous one.
func (r *raceSchedule) recordHead() {
	head := currentHead(r.t, r.memory)
	for name, hash := range head.Parts {
		if _, err := r.memory.Get(context.Background(), ticket.PartObject(hash)); err != nil {
			r.t.Fatalf("head with ticket %d references the missing part %s: %v", head.LastTicket, name, err)
		}
	}
	if len(r.heads) > 0 {
		last := r.heads[len(r.heads)-1]
		if head.LastTicket < last.LastTicket {
			r.t.Fatalf("last ticket %d after %d", head.LastTicket, last.LastTicket)
		}
		for number := 1; number <= last.LastTicket; number++ {
			before, _ := last.Digest(number)
			if after, _ := head.Digest(number); before != after {
				r.t.Fatalf("digest of ticket %d changed", number)
			}
		}
	}
	r.heads = append(r.heads, head)
}

func (r *raceSchedule) check() {
	r.recordHead()
	for _, s := range r.sent {
		isAccepted := accepted(r.t, r.memory, s.number, s.ticket)
		if s.err == nil && !isAccepted {
			r.t.Fatalf("Apply accepted ticket %d, but it is not in force", s.number)
		}
		if s.err != nil && verdict.From(s.err).Verdict == verdict.NotRun && isAccepted {
			r.t.Fatalf("ticket %d is in force after Apply returned %v", s.number, s.err)
		}
	}
}
