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

// processorTime returns the user and system time that this process has used so far.
func processorTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails only for a wrong argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of the live heap after a garbage collection and of the stacks of all goroutines.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// trafficCounter counts the traffic, in both directions, of the connections that its listeners accept.
type trafficCounter struct {
	bytes atomic.Int64
	// writes counts the writes of the accepting side, one for each batch of frames.
	writes atomic.Int64
}

// listen opens a loopback listener whose traffic is counted.
func (c *trafficCounter) listen(ctx context.Context) (net.Listener, error) {
	return c.listenAt(ctx, "127.0.0.1:0")
}

func (c *trafficCounter) listenAt(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &countedListener{Listener: l, traffic: c}, nil
}

type countedListener struct {
	net.Listener
	traffic *trafficCounter
}

// Accept returns the next connection and counts its traffic.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *trafficCounter
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// observation holds the length of an observation and the mean rates per second during it.
type observation struct {
	seconds float64
	// processor is in microseconds per second; 12,000 are 1.2% of a core.
	processor float64
	bytes     float64
	writes    float64
}

// observe measures the processor time of this process and the counted traffic for the given time.
func observe(ctx context.Context, traffic *trafficCounter, duration time.Duration) (observation, error) {
	started, processorStart := time.Now(), processorTime()
	bytes, writes := traffic.bytes.Load(), traffic.writes.Load()
	if err := pause(ctx, duration); err != nil {
		return observation{}, err
	}
	seconds := time.Since(started).Seconds()
	return observation{
		seconds:   seconds,
		processor: (processorTime() - processorStart).Seconds() / seconds * microsecondsPerSecond,
		bytes:     float64(traffic.bytes.Load()-bytes) / seconds,
		writes:    float64(traffic.writes.Load()-writes) / seconds,
	}, nil
}

// pause waits for the given time. It returns an error if the context ends earlier.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "measurement")
	}
}

// Metric names and units that several experiments share.
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

func (o observation) processorMetric() Metric {
	return Metric{Name: nameProcessor, Unit: unitProcessor, Value: o.processor}
}

func (o observation) bytesMetric() Metric {
	return Metric{Name: nameBytes, Unit: unitRate, Value: o.bytes}
}

// sentBytes returns the number of bytes that this process has written to sockets and files so far, from /proc/self/io, or
// 0 if the kernel doesn't provide it. A byte sent between two parts of this process counts once.
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
