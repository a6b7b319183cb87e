package capacity

import (
	"context"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const microsecondsPerSecond = 1e6

// usedTime is the processor time that this process has used so far.
func usedTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails only for a wrong argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// usedMemory is the live heap after a collection, with the stacks of all goroutines.
func usedMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// wire counts what passes through the listeners that it wraps, in both directions.
type wire struct {
	bytes atomic.Int64
	// writes counts the writes of the accepting side: one for each batch of frames.
	writes atomic.Int64
}

// listen opens a counted loopback listener.
func (w *wire) listen(ctx context.Context) (net.Listener, error) {
	return w.listenAt(ctx, "127.0.0.1:0")
}

func (w *wire) listenAt(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &countedListener{Listener: l, wire: w}, nil
}

type countedListener struct {
	net.Listener
	wire *wire
}

// Accept returns the next connection, counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, wire: l.wire}, nil
}

type countedConn struct {
	net.Conn
	wire *wire
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	c.wire.writes.Add(1)
	return n, err
}

// observed is what a window of observation showed, a second.
type observed struct {
	seconds float64
	// processor is in microseconds a second; 12,000 are 1.2% of a core.
	processor float64
	bytes     float64
	writes    float64
}

// observe watches the process and the wire for the length.
func observe(ctx context.Context, w *wire, length time.Duration) (observed, error) {
	began, used := time.Now(), usedTime()
	bytes, writes := w.bytes.Load(), w.writes.Load()
	if err := pause(ctx, length); err != nil {
		return observed{}, err
	}
	seconds := time.Since(began).Seconds()
	return observed{
		seconds:   seconds,
		processor: (usedTime() - used).Seconds() / seconds * microsecondsPerSecond,
		bytes:     float64(w.bytes.Load()-bytes) / seconds,
		writes:    float64(w.writes.Load()-writes) / seconds,
	}, nil
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "measurement")
	}
}

// Names and units that several slopes share.
const (
	nameProcessor = "processor time"
	nameBytes     = "bytes on the wire"
	nameMemory    = "memory"

	unitProcessor = "µs/s"
	unitRate      = "B/s"
	unitBytes     = "B"
	unitCalls     = "calls/s"
	unitCount     = "calls"
)

func (o observed) processorFigure() Figure {
	return Figure{Name: nameProcessor, Unit: unitProcessor, Value: o.processor}
}

func (o observed) bytesFigure() Figure {
	return Figure{Name: nameBytes, Unit: unitRate, Value: o.bytes}
}

// sentBytes is what this process has written to sockets and files so far, as the system counts it: each
// byte between two parts of this process is counted once.
func sentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "wchar:"); ok {
			sent, _ := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
			return sent
		}
	}
	return 0
}
