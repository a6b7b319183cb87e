// Package peer carries typed messages between the system's own processes: length-prefixed msgpack
// frames over TCP, one multiplexed connection a pair, opened when first needed and closed when idle.
//
// Both sides prove at the handshake that they know the shared secret. Each frame names the
// connection's incarnation and a stream that is never used again on the connection, and the closing
// frame of an answer carries its length and checksum, so that a late, crossed or short answer is
// never taken for a whole one.
package peer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

// Method names what a request asks of the peer.
type Method string

// Sink takes the answer of a streamed request; both methods wait while the reader is slow.
type Sink interface {
	// Head opens the answer; it is called once, before the first Write.
	Head(head request.AnswerHead) error
	// Write sends a copy of p; it may be kept or changed by the caller afterwards.
	Write(p []byte) (int, error)
}

// Aborter is implemented by the sinks of this package.
type Aborter interface {
	// Abort ends the handler's context with the cause, and with it a Write that waits for a slow reader.
	Abort(cause error)
}

// Errors of the transport. A refusal of the remote handler is returned as its *verdict.Refusal.
var (
	// ErrUnsent: no byte of the request can have reached the peer; the request has not run.
	ErrUnsent = errors.New("request was not sent")
	// ErrLost: the request was sent and its answer is not whole; it may have run.
	ErrLost = errors.New("answer was lost")
	// ErrCancelled is the cause of a handler's context that ended because the asking side gave up.
	ErrCancelled = errors.New("request was cancelled by the peer")
	// ErrHandshake: the peer did not prove that it knows the secret.
	ErrHandshake = errors.New("peer did not prove the shared secret")
	// ErrProtocol: the peer sent a frame that the protocol does not allow.
	ErrProtocol = errors.New("protocol violation")
	// ErrFrozen: this process did not look at the connection for longer than the heartbeat timeout.
	ErrFrozen = errors.New("process was frozen")
	// ErrTooLarge: a frame is longer than allowed.
	ErrTooLarge = errors.New("frame is too large")
	// ErrClosed: the client or the connection was closed on this side.
	ErrClosed = errors.New("connection is closed")
)

// Defaults of the options.
const (
	defaultMaxFrame   = 16 << 20
	defaultMaxStreams = 4096
	// defaultWindow lets 256 KiB of an answer be under way; at 1 ms one way that is 128 MB/s a stream.
	defaultWindow           = 256 << 10
	defaultHeartbeat        = time.Second
	defaultHeartbeatTimeout = 3 * time.Second
	defaultIdleTimeout      = time.Minute
	defaultDialTimeout      = 2 * time.Second
	// connectTimeout bounds the first connection attempt and allows several round trips within a region. It doubles on each retry.
	connectTimeout      = 100 * time.Millisecond
	maxConnectAttempts  = 5
	defaultWriteTimeout = 3 * time.Second
	defaultCloseTimeout = time.Second
)

const (
	// chunkSize bounds a data frame, so that one stream holds up the others for one chunk at most.
	chunkSize = 32 << 10
	// queueLength is the number of frames that wait for the writer of a connection.
	queueLength = 64
	bufferSize  = 32 << 10
	// readBufferSize holds many small frames; the rest of a large one is read past the buffer.
	readBufferSize = 8 << 10
)
