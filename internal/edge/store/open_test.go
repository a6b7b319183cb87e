package store

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// scriptedTransport returns its replies and errors in turn, and then repeats the last pair.
type scriptedTransport struct {
	replies []platform.Reply
	errs    []error
	calls   int
}

func (s *scriptedTransport) Send(context.Context, platform.Call) (platform.Reply, error) {
	i := min(s.calls, len(s.errs)-1)
	s.calls++
	return s.replies[i], s.errs[i]
}

// Guards against a create being reported as without effect although an attempt through another entry may have succeeded.
func TestOutcomeOfCreateThatMayHaveSucceededIsUnknown(t *testing.T) {
	lost := errors.Wrap(product.ErrOutcomeUnknown, "the entry that carried it fell silent")
	unsent := errors.Wrap(product.ErrUnavailable, "no connection")
	for _, test := range []struct {
		name        string
		unavailable bool
		direct      scriptedTransport
		relay       scriptedTransport
	}{
		{
			name:   "direct call rejected, relayed call lost",
			direct: scriptedTransport{replies: []platform.Reply{{Status: 503}}, errs: []error{nil}},
			relay:  scriptedTransport{replies: make([]platform.Reply, 1), errs: []error{lost}},
		},
		{
			name:   "direct call not sent, relayed call lost",
			direct: scriptedTransport{replies: make([]platform.Reply, 1), errs: []error{unsent}},
			relay:  scriptedTransport{replies: make([]platform.Reply, 1), errs: []error{lost}},
		},
		{
			name: "relayed call lost first, then direct call rejected and relayed call not sent", unavailable: true,
			direct: scriptedTransport{replies: []platform.Reply{{Status: 503}}, errs: []error{nil}},
			relay:  scriptedTransport{replies: make([]platform.Reply, 2), errs: []error{lost, unsent}},
		},
		{
			name: "relayed call lost first, then no call sent", unavailable: true,
			direct: scriptedTransport{replies: make([]platform.Reply, 1), errs: []error{unsent}},
			relay:  scriptedTransport{replies: make([]platform.Reply, 2), errs: []error{lost, unsent}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(&test.direct, &test.relay, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
			if test.unavailable {
				until := time.Now().Add(time.Minute)
				s.unavailableUntil.Store(&until)
			}
			_, err := s.Create(t.Context(), "jobs", "j", []byte(`{}`))
			if !errors.Is(err, product.ErrOutcomeUnknown) {
				t.Errorf("got error %v, want ErrOutcomeUnknown", err)
			}
		})
	}
}

// Guards against a backward wall clock step extending the time for which the host uses the relay after the store rejected its call.
func TestDirectUnavailableUsesMonotonicClock(t *testing.T) {
	direct := scriptedTransport{replies: []platform.Reply{{Status: 503}}, errs: []error{nil}}
	relay := scriptedTransport{replies: make([]platform.Reply, 1), errs: []error{errors.Wrap(product.ErrUnavailable, "no connection")}}
	s := New(&direct, &relay, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
	if s.DirectUnavailable(time.Now()) {
		t.Error("unavailable before the first call")
	}
	_, _ = s.Get(t.Context(), "jobs", "j")
	until := s.unavailableUntil.Load()
	if until == nil || !strings.Contains(until.String(), " m=") {
		t.Fatalf("unavailableUntil %v has no monotonic clock reading", until)
	}
	if !s.DirectUnavailable(time.Now()) || s.DirectUnavailable(time.Now().Add(unavailableTime)) {
		t.Error("want unavailable now and no longer after unavailableTime")
	}
}
