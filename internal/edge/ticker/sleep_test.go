package ticker

import (
	"context"
	"testing"
	"time"
)

func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, test := range []struct {
		name     string
		ctx      context.Context
		duration time.Duration
		want     bool
	}{
		{name: "until the duration is over", ctx: t.Context(), duration: time.Millisecond, want: true},
		{name: "negative duration", ctx: t.Context(), duration: -time.Second, want: true},
		{name: "context ended", ctx: ended, duration: time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Sleep(test.ctx, test.duration); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
