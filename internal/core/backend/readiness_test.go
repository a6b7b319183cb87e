package backend

import (
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/readiness"
)

// newGuardedBalancer returns the balancer of the only entry, whose desk servers need a limit while they are cold.
func newGuardedBalancer(evacuated ...string) *Balancer {
	balancer := NewBalancer("self", "near", WithRegions(map[string]string{"near": "north", "far": "south"}))
	conditions := readiness.Conditions{
		Evacuated: map[string]bool{}, Revision: 2, Limits: map[string]readiness.Limit{"desk": {PerSecond: 2, Duration: time.Second}},
	}
	for _, zone := range evacuated {
		conditions.Evacuated[zone] = true
	}
	balancer.SetConditions(now, conditions)
	balancer.SetEntries(now, []string{"self"}, nil)
	balancer.Sync(now, servers())
	return balancer
}

func TestAcquireAsksTheGuard(t *testing.T) {
	for _, test := range []struct {
		name     string
		balancer *Balancer
		need     Requirements
		want     string
	}{
		{name: "evacuated zone", balancer: newGuardedBalancer("near"), need: Requirements{Pool: "desk"}, want: "a"},
		{name: "all zones evacuated", balancer: newGuardedBalancer("near", "far"), need: Requirements{Pool: "desk"}},
		{name: "regions", balancer: newGuardedBalancer(), need: Requirements{Pool: "desk", Regions: []string{"south"}}, want: "a"},
		{name: "deferrable work", balancer: newGuardedBalancer("near"), need: Requirements{Pool: "engines", Model: "m", Deferrable: true}, want: "e2"},
		{name: "no region", balancer: newGuardedBalancer(), need: Requirements{Pool: "desk", Regions: []string{}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := acquire(test.balancer, test.need); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a refusal that gives the wrong reason, or a time to come back at which the request would be refused again.
func TestWhyNone(t *testing.T) {
	cold := newGuardedBalancer("far")
	cold.RecordConnectionFailure(now, "b", true)
	for range 2 {
		acquire(cold, Requirements{Pool: "desk"})
	}
	for _, test := range []struct {
		name     string
		balancer *Balancer
		pool     string
		regions  []string
		want     Unavailability
	}{
		{name: "servers", balancer: newGuardedBalancer("far"), pool: "desk", want: Unavailability{}},
		{name: "no such pool", balancer: newGuardedBalancer(), pool: "none", want: Unavailability{}},
		{name: "evacuated", balancer: newGuardedBalancer("near", "far"), pool: "desk", want: Unavailability{Reason: readiness.Evacuated}},
		{name: "cold", balancer: cold, pool: "desk", want: Unavailability{Reason: readiness.Cold, ColdFor: time.Second}},
		{
			name: "outside regions", balancer: newGuardedBalancer("far"), pool: "desk", regions: []string{"elsewhere"},
			want: Unavailability{Reason: readiness.Evacuated},
		},
		{
			name: "outside all regions", balancer: newGuardedBalancer(), pool: "desk", regions: []string{"elsewhere"},
			want: Unavailability{Reason: readiness.OutsideRegions},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.balancer.WhyNone(now, test.pool, test.regions); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
