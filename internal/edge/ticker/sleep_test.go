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
		name   string
		ctx    context.Context
		length time.Duration
		want   bool
	}{
		{name: "to its end", ctx: t.Context(), length: time.Millisecond, want: true},
		{name: "a time that is over", ctx: t.Context(), length: -time.Second, want: true},
		{name: "cut short", ctx: ended, length: time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Sleep(test.ctx, test.length); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
