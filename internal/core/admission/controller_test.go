package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

var start = time.Unix(1000, 0).UTC()

func TestDivide(t *testing.T) {
	tests := []struct {
		name          string
		claims        []*claim
		wantAllocated []float64
		limited       []bool
	}{
		{
			name:          "an unused share goes to the others",
			claims:        []*claim{{weight: 1, demand: 10}, {weight: 1, demand: 100}, {weight: 1, demand: 100}},
			wantAllocated: []float64{30, 40, 40},
			limited:       []bool{false, true, true},
		},
		{
			name:          "capacity is divided in proportion to weights",
			claims:        []*claim{{weight: 2, demand: 100}, {weight: 1, demand: 100}},
			wantAllocated: []float64{60, 30},
			limited:       []bool{true, true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			capacity := 90.0
			divide(capacity, tt.claims)
			for i, c := range tt.claims {
				if c.allocated != tt.wantAllocated[i] || c.limited != tt.limited[i] {
					t.Errorf("claim %d got %v, limited %v", i, c.allocated, c.limited)
				}
			}
		})
	}
}

// Guards against refused requests that all retry at the same time. An organisation whose limit at
// this entry is one request a second with a burst of two sends five at once, and three are refused. If all three got
// the same retry time, they would retry together and two would be refused again. Each must get a different one.
func TestRefusedRequestsRetryOneByOne(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "a", RequestsPerSecond: 2, Burst: 4}}, 2)
	var got []time.Duration
	for range 5 {
		err := c.Admit(start, Request{Organisation: "a", Pool: "p"})
		if refusal, ok := verdict.As(err); ok {
			if refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonRateLimited {
				t.Errorf("got %v", refusal)
			}
			got = append(got, refusal.RetryAfter)
		}
	}
	if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, got); diff != "" {
		t.Error(diff)
	}
	if err := c.Admit(start.Add(time.Second), Request{Organisation: "a", Pool: "p"}); err != nil {
		t.Errorf("refused at its retry time: %v", err)
	}
	if err := c.Admit(start, Request{Organisation: "b", Pool: "p"}); err != nil {
		t.Errorf("another organisation was refused: %v", err)
	}
}

// Guards against a hot key that uses up its organisation's limit. One key sends a hundred requests a second under a
// limit of ten; a caller with another key sends one a second. The latter must be admitted every time but the first,
// when its key was unknown and the bucket was empty.
func TestHotKeyLeavesRoomForOthers(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "a", RequestsPerSecond: 10}}, 1)
	hot, cold := 0, 0
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if c.Admit(now, Request{Organisation: "a", Pool: "p", KeyHash: "hot"}) == nil {
			hot++
		}
		if i%100 == 50 && c.Admit(now, Request{Organisation: "a", Pool: "p", KeyHash: "cold"}) == nil {
			cold++
		}
	}
	if cold < 19 {
		t.Errorf("%d of 20 requests of the cold key were admitted", cold)
	}
	if hot < 150 {
		t.Errorf("the hot key got %d of about 190 remaining requests", hot)
	}
}

// Guards against a hot key that is told to come back at once and is refused again, because the tokens that it must leave
// to the other keys count as available to it.
func TestRetryTimeOfAHotKeyLeavesTheReserve(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "a", RequestsPerSecond: 1, Burst: 4}}, 1)
	if err := c.Admit(start, Request{Organisation: "a", Pool: "p", KeyHash: "cold"}); err != nil {
		t.Fatal(err)
	}
	var refusal *verdict.Refusal
	for refusal == nil {
		refusal, _ = verdict.As(c.Admit(start, Request{Organisation: "a", Pool: "p", KeyHash: "hot"}))
	}
	if refusal.RetryAfter <= 0 {
		t.Errorf("refused with %v", refusal)
	}
	if err := c.Admit(start.Add(refusal.RetryAfter), Request{Organisation: "a", Pool: "p", KeyHash: "hot"}); err != nil {
		t.Errorf("refused again after %v: %v", refusal.RetryAfter, err)
	}
}

// A pool serves 100 requests a second and refuses the rest. One organisation sends 1,000, another 20. The first
// must be refused at the entry, the second not at all.
func TestFairShareWhenFull(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "hot"}, {Name: "modest"}}, 1)
	refusedHot, refusedModest, served := 0, 0, 0
	for i := range 20000 {
		if i%100 == 0 {
			served = 0
		}
		now := start.Add(time.Duration(i) * time.Millisecond)
		request := Request{Organisation: "hot", Pool: "p"}
		if i%50 == 0 {
			request.Organisation = "modest"
		}
		err := c.Admit(now, request)
		if err == nil {
			served++
			c.Done(now, request, time.Second, served > 10)
			continue
		}
		if request.Organisation == "hot" {
			refusedHot++
		} else {
			refusedModest++
		}
	}
	if refusedModest != 0 {
		t.Errorf("%d requests of the modest organisation were refused", refusedModest)
	}
	if refusedHot < 10000 {
		t.Errorf("only %d of 19600 requests of the hot organisation were refused at the entry", refusedHot)
	}
}

func TestDeadlineBelowRecentLatencies(t *testing.T) {
	c := New()
	request := Request{Organisation: "a", Pool: "p", Cost: 1, Remaining: time.Second}
	for i := range minLatencySamples {
		if err := c.Admit(start, request); err != nil {
			t.Fatalf("refused before any latency is known: %v", err)
		}
		c.Done(start, request, time.Duration(3+i)*time.Second, false)
	}
	refusal, ok := verdict.As(c.Admit(start, request))
	if !ok || refusal.Reason != verdict.ReasonDeadlineUnreachable || refusal.RetryAfter != 2*time.Second {
		t.Errorf("got %v", refusal)
	}
	if err := c.Admit(start, Request{Organisation: "a", Pool: "p", Cost: 1, Remaining: 4 * time.Second}); err != nil {
		t.Errorf("refused although other requests finished in that time: %v", err)
	}
	if err := c.Admit(start.Add(2*minLatencyPeriod), request); err != nil {
		t.Errorf("refused because of outdated latencies: %v", err)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, orgs := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			c := New()
			requests := make([]Request, orgs)
			for i := range requests {
				requests[i] = Request{Organisation: fmt.Sprintf("org%d", i), Pool: "p", Cost: 1, KeyHash: "key", Remaining: time.Minute}
			}
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				request := requests[i%orgs]
				if c.Admit(now, request) == nil {
					c.Done(now, request, time.Second, i%3 == 0)
				}
			}
		})
	}
}
