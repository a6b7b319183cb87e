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

// disturbed is a store that asks a hook what happens to each call.
type disturbed struct {
	platform.Store
	// hook returns what to do with a call: "", or one of the faults below.
	hook func(call, name string) string
	// late are writes whose senders gave up; they may still take effect.
	late []func()
}

// The faults of a call.
const (
	faultDown     = "down"          // refused before any effect
	faultLost     = "lost"          // took effect, the answer is lost
	faultNeverRan = "never ran"     // lost on the way
	faultLate     = "late"          // lost, takes effect later
	stepHead      = "put head"      // the commit point
	stepPart      = "put part"      // before it
	stepGet       = "get head"      // the read at first
	stepSettle    = "get head late" // the read after a lost answer
)

func (d *disturbed) Get(ctx context.Context, name string) (platform.Object, error) {
	// Parts are read by several goroutines at once; a schedule has one.
	if name == ticket.HeadObject && d.hook("get", name) != "" {
		return platform.Object{}, platform.ErrUnavailable
	}
	return d.Store.Get(ctx, name)
}

func (d *disturbed) Watch(ctx context.Context, name string, after platform.Version, wait time.Duration) (platform.Object, error) {
	if d.hook("watch", name) != "" {
		return platform.Object{}, platform.ErrUnavailable
	}
	return d.Store.Watch(ctx, name, after, min(wait, time.Millisecond))
}

func (d *disturbed) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	// A write under way is not called back when its sender stops waiting.
	under := context.WithoutCancel(ctx)
	put := func() (platform.Version, error) { return d.Store.Put(under, name, value, ifVersion) }
	switch d.hook("put", name) {
	case faultDown:
		return 0, platform.ErrUnavailable
	case faultNeverRan:
		return 0, platform.ErrOutcomeUnknown
	case faultLate:
		d.late = append(d.late, func() { _, _ = put() })
		return 0, platform.ErrOutcomeUnknown
	case faultLost:
		_, _ = put()
		return 0, platform.ErrOutcomeUnknown
	}
	return put()
}

// virtual is a clock that goes on by itself with each look and each pause.
type virtual struct{ now time.Time }

func (v *virtual) clock() time.Time {
	v.now = v.now.Add(20 * time.Millisecond)
	return v.now
}

func (v *virtual) sleep(_ context.Context, d time.Duration) { v.now = v.now.Add(d) }

func testPublisher(store platform.Store) *Publisher {
	v := &virtual{now: time.Unix(0, 0)}
	return NewPublisher(store, withTime(v.clock, v.sleep))
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

// accepted reports whether the ticket has the number.
func accepted(t interface{ Fatal(...any) }, store platform.Store, number int, sent ticket.Ticket) bool {
	digest, err := ticket.Digest(sent)
	if err != nil {
		t.Fatal(err)
	}
	return currentHead(t, store).NumberStatus(number, digest) == ticket.NumberAccepted
}

// TestApplyUnderFaults is a platform that fails in one step of a ticket.
//
// What an operator would see: "not run" for a ticket that is in force, or "accepted" for one that is not.
// Each step of the first ticket fails in each way that it can.
func TestApplyUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		step    string
		fault   string
		times   int
		verdict verdict.Verdict // 0: accepted
		reason  verdict.Reason
	}{
		{"down at the read", stepGet, faultDown, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"down at a part", stepPart, faultDown, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"part's answer lost", stepPart, faultLost, 1, 0, ""},
		{"part lost for good", stepPart, faultNeverRan, 9, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"down at the head", stepHead, faultDown, 1, verdict.NotRun, verdict.ReasonPlatformUnavailable},
		{"head's answer lost", stepHead, faultLost, 1, 0, ""},
		{"head never written", stepHead, faultNeverRan, 1, 0, ""},
		{"head written late", stepHead, faultLate, 1, 0, ""},
		{"head's answer lost, then down", stepSettle, faultLost, 999, verdict.MayHaveRun, verdict.ReasonTicketUnsettled},
		{"head never written, then down", stepSettle, faultNeverRan, 999, verdict.MayHaveRun, verdict.ReasonTicketUnsettled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := standin.NewMemory()
			left := test.times
			failing := false
			store := &disturbed{Store: memory, hook: func(call, name string) string {
				step := call + " " + name
				if call == "put" && name != ticket.HeadObject {
					step = stepPart
				}
				if test.step == stepSettle && step == stepHead && !failing {
					failing = true
					return test.fault
				}
				if (step == test.step || failing) && left > 0 {
					left--
					return test.fault
				}
				return ""
			}}
			err := testPublisher(store).Apply(context.Background(), 1, weightTicket("sahil", 2))
			checkRefusal(t, err, test.verdict, test.reason)
			for _, put := range store.late {
				put()
			}
			in := accepted(t, memory, 1, weightTicket("sahil", 2))
			if test.verdict == 0 && !in || test.verdict == verdict.NotRun && in {
				t.Errorf("accepted %v after %v", in, err)
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
	p := testPublisher(&disturbed{Store: store, hook: func(string, string) string { return "" }})
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

// TestEarlyTicketWaits has the predecessor come while the ticket waits.
func TestEarlyTicketWaits(t *testing.T) {
	memory := standin.NewMemory()
	other := testPublisher(memory)
	came := false
	store := &disturbed{Store: memory, hook: func(call, _ string) string {
		if call == "watch" && !came {
			came = true
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

// sent is a ticket that an operator sent and what came back.
type sent struct {
	number int
	ticket ticket.Ticket
	err    error
}

// TestRacingOperators plays random schedules of operators that race on the next number.
//
// What an operator would see: two tickets under one number, a ticket half in force, a "not run" that is
// false, or a configuration that goes back. Any call fails before or after its effect, takes effect late,
// or is overtaken by a whole ticket of another operator.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := standin.NewMemory()
		race := &race{t: t, memory: memory}
		race.store = &disturbed{Store: memory, hook: race.hook}
		for range rapid.IntRange(1, 6).Draw(t, "tickets") {
			race.send()
		}
		race.faults = false
		for _, put := range race.store.late {
			put()
		}
		race.check()
	})
}

// race is one schedule.
type race struct {
	t      *rapid.T
	memory *standin.Memory
	store  *disturbed
	depth  int
	count  int
	sent   []sent
	faults bool
	heads  []ticket.Head
}

// send is one operator's ticket, under the number that is the next one or near it.
func (r *race) send() {
	r.count++
	next := currentHead(r.t, r.memory).LastTicket + rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(r.t, "number")
	change := weightTicket(fmt.Sprintf("organisation-%d", rapid.IntRange(0, 1).Draw(r.t, "organisation")), r.count)
	r.faults = true
	err := testPublisher(r.store).Apply(context.Background(), next, change)
	r.sent = append(r.sent, sent{number: next, ticket: change, err: err})
}

func (r *race) hook(string, string) string {
	if !r.faults {
		return ""
	}
	r.observe()
	drawn := rapid.SampledFrom([]string{"", "", "", "race", faultDown, faultLost, faultNeverRan, faultLate, "apply late"}).Draw(r.t, "fault")
	switch drawn {
	case "race":
		if r.depth < 2 && r.count < 8 {
			r.depth++
			r.send()
			r.depth--
		}
		return ""
	case "apply late":
		for _, put := range r.store.late {
			put()
		}
		r.store.late = nil
		return ""
	}
	return drawn
}

// observe keeps each head that is seen, and checks that it is whole and follows the last one.
func (r *race) observe() {
	head := currentHead(r.t, r.memory)
	for name, hash := range head.Parts {
		if _, err := r.memory.Get(context.Background(), ticket.PartObject(hash)); err != nil {
			r.t.Fatalf("ticket %d names %s, which is not there: %v", head.LastTicket, name, err)
		}
	}
	if len(r.heads) > 0 {
		last := r.heads[len(r.heads)-1]
		if head.LastTicket < last.LastTicket {
			r.t.Fatalf("ticket %d after %d", head.LastTicket, last.LastTicket)
		}
		for number := 1; number <= last.LastTicket; number++ {
			before, _ := last.Digest(number)
			if after, _ := head.Digest(number); before != after {
				r.t.Fatalf("ticket %d changed", number)
			}
		}
	}
	r.heads = append(r.heads, head)
}

func (r *race) check() {
	r.observe()
	for _, s := range r.sent {
		in := accepted(r.t, r.memory, s.number, s.ticket)
		if s.err == nil && !in {
			r.t.Fatalf("ticket %d was accepted and is not in force", s.number)
		}
		if s.err != nil && verdict.From(s.err).Verdict == verdict.NotRun && in {
			r.t.Fatalf("ticket %d is in force after %v", s.number, s.err)
		}
	}
}
