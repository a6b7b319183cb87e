package ticker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

func TestAwakeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expired := errors.New("expired")
		started := time.Now()
		ctx, cancel := WithAwakeTimeout(t.Context(), time.Second, expired)
		defer cancel()
		<-ctx.Done()
		if took := time.Since(started); took != time.Second || !errors.Is(context.Cause(ctx), expired) {
			t.Errorf("ended after %v with %v", took, context.Cause(ctx))
		}
		ctx, cancel = WithAwakeTimeout(t.Context(), time.Second, expired)
		cancel()
		if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
			t.Errorf("cancelled with %v", cause)
		}
	})
}
