package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// declared returns the framing of a body of the given length.
func declared(length int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }

// newDeploymentWithLargeAnswers returns a deployment with one gateway and one service, whose answers declare the length and are endless.
func newDeploymentWithLargeAnswers(t *testing.T, length int) (*deployment, *endlessServer) {
	t.Helper()
	d := newDeployment(t, 1)
	server := d.makeEndless(d.services[0], declared(length), constant("x"))
	d.store.Remove("servers", d.services[1].ID)
	d.eventually("the server is the only one", func() bool {
		return d.knowsAddress(server.address) && !d.knowsAddress(d.services[1].Address().String())
	})
	return d, server
}

// open sends a call and returns its answer without reading the body.
func (d *deployment) open(id string, timeout time.Duration) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodGet, d.gateways[0].url+"/safe/x", http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, id, keyNorth, timeout)
	return d.client.Do(request)
}

// awaitFreeSlots waits until the gateway has no request at any server.
func (d *deployment) awaitFreeSlots() {
	d.t.Helper()
	d.eventually("all slots are free", func() bool { return len(d.gateways[0].balancer.Running()) == 0 })
}

// Guards against answers of the promised length that are cut, or take the memory of the gateway: several at once must arrive whole.
func TestLargestAnswersArePassedOn(t *testing.T) {
	const calls = 4
	d, server := newDeploymentWithLargeAnswers(t, call.MaxAnswerBytes)
	checkHeap := watchHeap(t)
	var group conc.WaitGroup
	for i := range calls {
		group.Go(func() {
			response, err := d.open(fmt.Sprintf("call-%d", i), 5*time.Second)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			n, err := io.Copy(io.Discard, response.Body)
			if err != nil || n != call.MaxAnswerBytes || response.StatusCode != http.StatusOK {
				t.Errorf("status %d, %d bytes, %v", response.StatusCode, n, err)
			}
		})
	}
	group.Wait()
	checkHeap()
	d.awaitFreeSlots()
	t.Logf("%d requests, closed after %v", server.requests.Load(), time.Duration(server.longest.Load()))
}

// Guards against an answer that looks complete although its server broke off, and against its slot that is never freed.
func TestPassedAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	d, server := newDeploymentWithLargeAnswers(t, 4<<20)
	server.limit = 2 << 20
	response, err := d.open("call", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); !errors.Is(err, io.ErrUnexpectedEOF) || n > 2<<20+64<<10 {
		t.Errorf("%d bytes, %v", n, err)
	}
	d.awaitFreeSlots()
}

// Guards against a caller that reads no further, or hangs up, and thereby keeps a slot at the server.
func TestCallerThatDoesNotReadFreesTheSlot(t *testing.T) {
	for _, hangUp := range []bool{true, false} {
		t.Run(fmt.Sprintf("hangs up %v", hangUp), func(t *testing.T) {
			d, server := newDeploymentWithLargeAnswers(t, call.MaxAnswerBytes)
			response, err := d.open("call", time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if hangUp {
				_ = response.Body.Close()
			}
			d.awaitFreeSlots()
			d.eventually("the server's connection is closed", func() bool { return server.longest.Load() > 0 })
			if longest := time.Duration(server.longest.Load()); longest > time.Second+endlessCloseTimeout {
				t.Errorf("closed after %v", longest)
			}
		})
	}
}

// Guards against a connection to a caller that fails after an answer that was passed on: the next answer must come on it.
func TestConnectionServesOnAfterAPassedAnswer(t *testing.T) {
	d, _ := newDeploymentWithLargeAnswers(t, 2<<20)
	dialled := 0
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	d.client.Transport = transport
	for i := range 3 {
		response, err := d.open(fmt.Sprintf("call-%d", i), 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || n != 2<<20 {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
	if dialled != 1 {
		t.Errorf("%d connections for three calls", dialled)
	}
}

// Guards against an answer longer than the promised length that is passed on, or sent for again and again.
func TestAnswerBeyondThePromisedLengthIsRefused(t *testing.T) {
	d, server := newDeploymentWithLargeAnswers(t, call.MaxAnswerBytes+1)
	got := d.call(d.gateways[0], http.MethodGet, "/safe/x", keyNorth, "call", "")
	if got.status != http.StatusBadGateway || server.requests.Load() != 1 {
		t.Errorf("status %d after %d requests", got.status, server.requests.Load())
	}
	server.check()
}

// Guards against callers that read no further and thereby keep the memory for answers, so that all other large answers are refused.
func TestCallersThatDoNotReadFreeTheMemory(t *testing.T) {
	const length = 15 << 18
	d, server := newDeploymentWithLargeAnswers(t, length)
	server.framing, server.limit = "Connection: close\r\n\r\n", length
	d.client.Timeout = 0
	d.client.Transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	}}
	for i := range 2 {
		response, err := d.open(fmt.Sprintf("call-%d", i), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
	}
	d.eventually("an answer of the same size is served", func() bool {
		response, err := d.open("last", time.Second)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		n, err := io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK && n >= length
	})
}

// Guards against sound answers that are ended because together they exceed the memory for answers.
func TestManyAnswersAtOnceArePassedOn(t *testing.T) {
	const calls, length, blocks = 32, 900 << 10, 30
	d, server := newDeploymentWithLargeAnswers(t, length)
	server.limit = length
	server.unit = func(block []byte, _ int) []byte {
		time.Sleep(10 * time.Millisecond)
		return append(block, make([]byte, length/blocks)...)
	}
	checkHeap := watchHeap(t)
	var group conc.WaitGroup
	for i := range calls {
		group.Go(func() {
			response, err := d.open(fmt.Sprintf("call-%d", i), 10*time.Second)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			n, err := io.Copy(io.Discard, response.Body)
			if err != nil || n != length || response.StatusCode != http.StatusOK {
				t.Errorf("status %d, %d bytes, %v", response.StatusCode, n, err)
			}
		})
	}
	group.Wait()
	checkHeap()
}
