package store

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// answers is a carrier that gives one answer after the other, the last one again and again.
type answers struct {
	replies []platform.Reply
	errs    []error
	n       int
}

func (a *answers) Carry(context.Context, platform.Call) (platform.Reply, error) {
	i := min(a.n, len(a.errs)-1)
	a.n++
	return a.replies[i], a.errs[i]
}

// A create that may have been carried out through another entry must not be said to have had no effect.
func TestACreateThatMayHaveBeenCarriedOutIsOpen(t *testing.T) {
	open := errors.Wrap(product.ErrUnsettled, "the entry that carried it fell silent")
	unsent := errors.Wrap(product.ErrUnavailable, "no connection")
	for _, test := range []struct {
		name   string
		away   bool
		direct answers
		relay  answers
	}{
		{name: "turned away, and lost at another entry", direct: answers{replies: []platform.Reply{{Status: 503}}, errs: []error{nil}}, relay: answers{replies: make([]platform.Reply, 1), errs: []error{open}}},
		{name: "cut off, and lost at another entry", direct: answers{replies: make([]platform.Reply, 1), errs: []error{unsent}}, relay: answers{replies: make([]platform.Reply, 1), errs: []error{open}}},
		{name: "lost at another entry first, then turned away everywhere", away: true, direct: answers{replies: []platform.Reply{{Status: 503}}, errs: []error{nil}}, relay: answers{replies: make([]platform.Reply, 2), errs: []error{open, unsent}}},
		{name: "lost at another entry first, then cut off everywhere", away: true, direct: answers{replies: make([]platform.Reply, 1), errs: []error{unsent}}, relay: answers{replies: make([]platform.Reply, 2), errs: []error{open, unsent}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(&test.direct, &test.relay, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
			if test.away {
				s.awayUntil.Store(time.Now().Add(time.Minute).UnixNano())
			}
			_, err := s.Create(t.Context(), "jobs", "j", []byte(`{}`))
			if !errors.Is(err, product.ErrUnsettled) {
				t.Errorf("said to have had no effect: %v", err)
			}
		})
	}
}
