package admin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a process that never exits when it is stopped right after its start. The HTTP library's shutdown does
// nothing before its server accepts connections, so the server would start afterwards and serve forever.
func TestServerStopsRightAfterStart(t *testing.T) {
	const starts = 100
	for range starts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s := NewServer(ctx, l, prometheus.NewRegistry(), nil)
		ended := make(chan struct{})
		go func() {
			s.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the server did not stop within 10 seconds")
		}
	}
}
