package platform_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func agentHost(id string) edge.Host {
	return edge.Host{ID: id, Role: edge.RoleAgent, Pool: "billdesk", AvailabilityZone: "om-north-a"}
}

func order(count int, drained ...string) edge.ServerOrder {
	return edge.ServerOrder{AvailabilityZone: "om-north-a", Pool: "billdesk", Count: count, Drained: drained}
}

func TestServersFollowOrdersAndListLags(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	memory := platform.NewMemory(
		platform.WithClock(func() time.Time { return now }),
		platform.WithHosts([]edge.Host{agentHost("c"), agentHost("a"), agentHost("b"), {ID: "e", Role: edge.RoleEntry}}),
		platform.WithFaults(platform.Faults{StartupMilliseconds: 10_000, LeavingMilliseconds: 5_000, ListLagMilliseconds: 2_000}),
	)
	steps := []struct {
		name  string
		after time.Duration
		order *edge.ServerOrder
		want  []string
	}{
		{name: "nothing ordered", want: []string{"e live"}},
		{name: "ordered", order: new(order(2)), want: []string{"e live"}},
		{name: "started, the list lags", after: 11 * time.Second, want: []string{"e live"}},
		{name: "listed", after: time.Second, want: []string{"a live", "b live", "e live"}},
		{name: "drained server stops first", order: new(order(1, "a")), want: []string{"a live", "b live", "e live"}},
		{name: "leaving", after: 2 * time.Second, want: []string{"a leaving", "b live", "e live"}},
		{name: "gone", after: 5 * time.Second, want: []string{"b live", "e live"}},
		{name: "the same order again", order: new(order(1, "a")), after: time.Hour, want: []string{"b live", "e live"}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			if step.order != nil {
				if err := memory.Order(t.Context(), *step.order); err != nil {
					t.Fatal(err)
				}
			}
			now = now.Add(step.after)
			hosts, err := memory.Hosts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, host := range hosts {
				got = append(got, host.ID+" "+string(host.State))
			}
			if diff := cmp.Diff(step.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	memory := platform.NewMemory()
	var group conc.WaitGroup
	group.Go(func() {
		if _, err := memory.Watch(t.Context(), "absent", 0, time.Hour); !errors.Is(err, edge.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	})
	memory.SetOutage(true)
	group.Wait()
}

func TestWatchOfAbsentObject(t *testing.T) {
	memory := platform.NewMemory()
	if _, err := memory.Watch(t.Context(), "absent", 0, 0); !errors.Is(err, edge.ErrNotFound) {
		t.Errorf("got %v", err)
	}
	version, err := memory.Put(t.Context(), "deleted", []byte(`1`), 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := memory.Delete(t.Context(), "deleted", version); err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Watch(t.Context(), "deleted", version, time.Hour); !errors.Is(err, edge.ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestWriteWithLostAnswerTakesEffectOnceAndIsCounted(t *testing.T) {
	memory := platform.NewMemory()
	memory.LoseAnswers(1)
	if _, err := memory.Put(t.Context(), "a", []byte(`1`), 0); !errors.Is(err, edge.ErrOutcomeUnknown) {
		t.Errorf("got %v", err)
	}
	object, err := memory.Get(t.Context(), "a")
	if err != nil || string(object.Value) != "1" {
		t.Errorf("got %v, %v", object, err)
	}
	want := map[platform.CallKind]int{platform.KindPut: 1, platform.KindGet: 1}
	if diff := cmp.Diff(want, memory.Calls()); diff != "" {
		t.Error(diff)
	}
}
