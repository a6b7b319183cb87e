// Package peer implements the RPC protocol between the system's own processes. Messages are length-prefixed
// msgpack frames over TCP. A client keeps one multiplexed connection to each server, which it opens on first
// use and closes when idle.
//
// In the handshake both sides prove that they know the shared secret. Each frame carries the ID of its
// connection and a stream ID that is never reused on that connection, and the end frame of an answer carries
// the length and checksum of the answer. A late, misrouted or truncated answer is therefore never accepted
// as complete.
package peer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Method is the name of a remote procedure.
type Method string

// Sink receives the answer that a handler streams. Both methods block while the reader is slow.
type Sink interface {
	// Head starts the answer. It must be called once, before the first Write.
	Head(head request.AnswerHead) error
	// Write sends a copy of p, which the caller may modify afterwards.
	Write(p []byte) (int, error)
}

// Aborter is implemented by the Sinks of this package.
type Aborter interface {
	// Abort cancels the handler's context with the given cause, which also unblocks a Write that waits for a slow reader.
	Abort(cause error)
}

// Errors of the transport. An error of the remote handler is returned as a *verdict.Refusal.
var (
	// ErrUnsent is returned if no byte of the request can have reached the peer. The request has not run.
	ErrUnsent = errors.New("request was not sent")
	// ErrLost is returned if the request was sent and its answer is missing or incomplete. The request may have run.
	ErrLost = errors.New("answer was lost")
	// ErrCancelled is the cancellation cause of a handler's context if the client cancelled the request.
	ErrCancelled = errors.New("request was cancelled by the peer")
	// ErrHandshake is returned if the peer did not prove that it knows the secret, or uses another protocol version.
	ErrHandshake = errors.New("peer did not prove the shared secret")
	// ErrProtocol is returned if the peer sent a frame that the protocol does not allow.
	ErrProtocol = errors.New("protocol violation")
	// ErrFrozen is returned if this process was suspended and therefore sent nothing for longer than the heartbeat timeout.
	ErrFrozen = errors.New("process was frozen")
	// ErrSilent is returned if the peer sent nothing, not even heartbeats, for the heartbeat timeout.
	ErrSilent = errors.New("peer is silent")
	// ErrStalled is returned if the peer read nothing for the write timeout.
	ErrStalled = errors.New("peer does not read")
	// ErrDialTimeout is returned if a connection was not ready for requests within the dial timeout.
	ErrDialTimeout = errors.New("dial timeout")
	// ErrTooLarge is returned if a frame exceeds the maximum size.
	ErrTooLarge = errors.New("frame is too large")
	// ErrClosed is returned if the client or the connection was closed on this side.
	ErrClosed = errors.New("connection is closed")
)

// Default values of the options.
const (
	defaultMaxFrame   = 16 << 20
	defaultMaxStreams = 4096
	// defaultWindow limits the unacknowledged data of a stream to 256 KiB: 128 MB/s at a one-way latency of 1 ms.
	defaultWindow           = 256 << 10
	defaultHeartbeat        = time.Second
	defaultHeartbeatTimeout = 3 * time.Second
	defaultIdleTimeout      = time.Minute
	defaultDialTimeout      = 2 * time.Second
	// connectTimeout is how long the first attempt to connect may take before another one starts beside it: several round trips within a
	// region. It doubles with each attempt.
	connectTimeout     = 100 * time.Millisecond
	maxConnectAttempts = 5
	// defaultWriteTimeout is much longer than the heartbeat timeout, which ends connections to peers that are gone: a peer that sends
	// heartbeats and doesn't read is busy, and closing the connection would lose all requests on it.
	defaultWriteTimeout = 15 * time.Second
	// defaultCloseTimeout leaves a client that is alive time to read the answers that it has been sent.
	defaultCloseTimeout = 3 * time.Second
)

const (
	// chunkSize is the maximum payload of a data frame in bytes, so that a stream delays the others by one chunk at most.
	chunkSize = 32 << 10
	// queueLength is the capacity of a connection's send queue in frames.
	queueLength = 64
	bufferSize  = 32 << 10
	// readBufferSize holds many small frames. The rest of a large frame is read without buffering.
	readBufferSize = 8 << 10
)
