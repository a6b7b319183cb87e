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
		name    string
		claims  []*claim
		parts   []float64
		limited []bool
	}{
		{
			name:    "an unused share goes to the others",
			claims:  []*claim{{weight: 1, demand: 10}, {weight: 1, demand: 100}, {weight: 1, demand: 100}},
			parts:   []float64{30, 40, 40},
			limited: []bool{false, true, true},
		},
		{
			name:    "weights",
			claims:  []*claim{{weight: 2, demand: 100}, {weight: 1, demand: 100}},
			parts:   []float64{60, 30},
			limited: []bool{true, true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			capacity := 90.0
			divide(capacity, tt.claims)
			for i, c := range tt.claims {
				if c.part != tt.parts[i] || c.limited != tt.limited[i] {
					t.Errorf("claim %d got %v, limited %v", i, c.part, c.limited)
				}
			}
		})
	}
}

// An organisation with a limit of one request a second sends five at once. If all are told the same
// time, they come back together and four are refused again. Each must be told its own.
func TestRefusedComeBackOneByOne(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "a", RequestsPerSecond: 2, Burst: 4}}, 2)
	var got []time.Duration
	for range 5 {
		err := c.Admit(start, Ask{Organisation: "a", Pool: "p"})
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
	if err := c.Admit(start.Add(time.Second), Ask{Organisation: "a", Pool: "p"}); err != nil {
		t.Errorf("refused at the time it was told: %v", err)
	}
	if err := c.Admit(start, Ask{Organisation: "b", Pool: "p"}); err != nil {
		t.Errorf("another organisation was refused: %v", err)
	}
}

// One key of an organisation sends a hundred requests a second and uses up the organisation's limit
// of ten; another key's caller sends one a second. It must be admitted each time but the first: until
// then nothing was known of the key, and the bucket was empty.
func TestHotKey(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "a", RequestsPerSecond: 10}}, 1)
	hot, cold := 0, 0
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if c.Admit(now, Ask{Organisation: "a", Pool: "p", KeyHash: "hot"}) == nil {
			hot++
		}
		if i%100 == 50 && c.Admit(now, Ask{Organisation: "a", Pool: "p", KeyHash: "cold"}) == nil {
			cold++
		}
	}
	if cold < 19 {
		t.Errorf("%d of 20 requests of the cold key were admitted", cold)
	}
	if hot < 150 {
		t.Errorf("the hot key got %d of about 190 requests left", hot)
	}
}

// A pool can do 100 requests a second and refuses the rest. One organisation offers 1,000, another
// 20. The first must be refused at the entry, the second not at all.
func TestFairShareWhenFull(t *testing.T) {
	c := New()
	c.Configure([]ticket.Organisation{{Name: "hot"}, {Name: "modest"}}, 1)
	refusedHot, refusedModest, served := 0, 0, 0
	for i := range 20000 {
		if i%100 == 0 {
			served = 0
		}
		now := start.Add(time.Duration(i) * time.Millisecond)
		ask := Ask{Organisation: "hot", Pool: "p"}
		if i%50 == 0 {
			ask.Organisation = "modest"
		}
		err := c.Admit(now, ask)
		if err == nil {
			served++
			c.Done(now, ask, time.Second, served > 10)
			continue
		}
		if ask.Organisation == "hot" {
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

func TestDeadlineFromBacklog(t *testing.T) {
	c := New()
	ask := Ask{Organisation: "a", Pool: "p", Cost: 1, Remaining: time.Second}
	for i := range leastFinished {
		if err := c.Admit(start, ask); err != nil {
			t.Fatalf("refused before anything is known: %v", err)
		}
		c.Done(start, ask, time.Duration(3+i)*time.Second, false)
	}
	refusal, ok := verdict.As(c.Admit(start, ask))
	if !ok || refusal.Reason != verdict.ReasonDeadlineUnreachable || refusal.RetryAfter != 2*time.Second {
		t.Errorf("got %v", refusal)
	}
	if err := c.Admit(start, Ask{Organisation: "a", Pool: "p", Cost: 1, Remaining: 4 * time.Second}); err != nil {
		t.Errorf("refused though others made it in that time: %v", err)
	}
	if err := c.Admit(start.Add(2*fastestTime), ask); err != nil {
		t.Errorf("refused by times that are long past: %v", err)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, orgs := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			c := New()
			asks := make([]Ask, orgs)
			for i := range asks {
				asks[i] = Ask{Organisation: fmt.Sprintf("org%d", i), Pool: "p", Cost: 1, KeyHash: "key", Remaining: time.Minute}
			}
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				ask := asks[i%orgs]
				if c.Admit(now, ask) == nil {
					c.Done(now, ask, time.Second, i%3 == 0)
				}
			}
		})
	}
}
