package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// EndReason says why a connection ended.
type EndReason string

// Values of EndReason.
const (
	// EndClosed: this side closed the connection because it was idle, drained, or its process stopped.
	EndClosed EndReason = "closed"
	// EndPeerClosed: the peer closed the connection.
	EndPeerClosed EndReason = "peerClosed"
	// EndReset: the peer closed the connection with data unread, or its process is gone.
	EndReset EndReason = "reset"
	// EndSilent: the heartbeat timeout passed.
	EndSilent EndReason = "silent"
	// EndStalled: the write timeout passed.
	EndStalled EndReason = "stalled"
	// EndFrozen: this process was suspended.
	EndFrozen EndReason = "frozen"
	// EndProtocol: the peer sent a frame that the protocol doesn't allow.
	EndProtocol EndReason = "protocol"
	// EndOther: another error of the network.
	EndOther EndReason = "other"
)

// ConnectionEnd describes a connection that has ended, for logs and metrics.
type ConnectionEnd struct {
	Peer net.Addr
	// Dialled is set on the side that opened the connection.
	Dialled bool
	Reason  EndReason
	Cause   error
	// Requests is the number of requests that were open when the connection ended.
	Requests int
	Age      time.Duration
}

// WithEndObserver has f called for each connection that was ready for requests and has ended. It must not block.
func WithEndObserver(f func(ConnectionEnd)) Option {
	return func(s *settings) { s.observeEnd = f }
}

// reportEnd reports the end of the connection to the observer.
func (c *frameConn) reportEnd(dialled bool, requests int, cause error) {
	if c.settings.observeEnd == nil {
		return
	}
	c.settings.observeEnd(ConnectionEnd{
		Peer:     c.netConn.RemoteAddr(),
		Dialled:  dialled,
		Reason:   endReason(cause),
		Cause:    cause,
		Requests: requests,
		Age:      time.Since(c.opened),
	})
}

func endReason(cause error) EndReason {
	for _, known := range []struct {
		err    error
		reason EndReason
	}{
		{ErrFrozen, EndFrozen},
		{ErrSilent, EndSilent},
		{ErrStalled, EndStalled},
		{ErrProtocol, EndProtocol},
		{ErrTooLarge, EndProtocol},
		{ErrClosed, EndClosed},
		{net.ErrClosed, EndClosed},
		{context.Canceled, EndClosed},
		{io.EOF, EndPeerClosed},
		{io.ErrUnexpectedEOF, EndPeerClosed},
		{syscall.ECONNRESET, EndReset},
		{syscall.EPIPE, EndReset},
	} {
		if errors.Is(cause, known.err) {
			return known.reason
		}
	}
	return EndOther
}
