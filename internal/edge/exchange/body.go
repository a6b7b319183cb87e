package exchange

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minChunk and maxChunk bound the pieces in which a body of undeclared length is read.
	minChunk = 2 << 10
	maxChunk = 64 << 10
	// maxFraming bounds by how much an answer may exceed twice the length of its body: the header and the frames of chunks.
	maxFraming = 512 << 10
	// maxDiscard bounds how much is read of a body that is not used, and discardTimeout for how long.
	maxDiscard     = 64 << 10
	discardTimeout = 100 * time.Millisecond
)

// Bound is a bound that an answer exceeded.
type Bound string

// The bounds of answers.
const (
	// BoundHeader: the header is longer than the buffer that it is read into.
	BoundHeader Bound = "header"
	// BoundDeclared: the declared length exceeds what may be read into memory.
	BoundDeclared Bound = "declared"
	// BoundBody: the body exceeds what may be read into memory.
	BoundBody Bound = "body"
	// BoundFraming: the connection carried far more bytes than the body has, as with chunks of one byte.
	BoundFraming Bound = "framing"
	// BoundMemory: all answers together exceed the memory for them, and this one was the largest.
	BoundMemory Bound = "memory"
	// BoundDiscarded: the body is not used, and too long to be read for the sake of the connection.
	BoundDiscarded Bound = "discarded"
)

// AnswerTooLargeError is the error of an answer that was ended because it exceeds a bound. It matches ErrAnswerLost.
type AnswerTooLargeError struct {
	// Server is the scheme and the address of the server.
	Server string
	Bound  Bound
	// Read is how many bytes were read or, for BoundDeclared, declared; Limit is the bound in bytes.
	Read, Limit int
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer of %s is too large: %d bytes, limit %d (%s)", e.Server, e.Read, e.Limit, e.Bound)
}

// Is reports whether the target is ErrAnswerLost.
func (e *AnswerTooLargeError) Is(target error) bool { return target == ErrAnswerLost }

// IsTooLarge reports whether err says that an answer was ended because it is too large.
func IsTooLarge(err error) bool {
	var tooLarge *AnswerTooLargeError
	return errors.As(err, &tooLarge)
}

// Body is the body of an answer in memory. It must be released.
type Body struct {
	chunks      [][]byte
	length      int
	reservation *reservation
}

// Len returns the length of the body in bytes.
func (b *Body) Len() int { return b.length }

// Bytes returns the body if it is in one piece, which a body of up to 64 KiB and of declared length is.
func (b *Body) Bytes() ([]byte, bool) {
	switch len(b.chunks) {
	case 0:
		return nil, true
	case 1:
		return b.chunks[0], true
	default:
		return nil, false
	}
}

// Reader returns a reader of the body that releases it when it is closed.
func (b *Body) Reader() io.ReadCloser {
	chunks := net.Buffers(slices.Clone(b.chunks))
	return bodyStream{Reader: &chunks, body: b}
}

type bodyStream struct {
	io.Reader
	body *Body
}

func (s bodyStream) Close() error {
	s.body.Release()
	return nil
}

// chunkPool holds chunks of maxChunk bytes that were read into and never handed out. Without it, endless answers would leave garbage faster
// than it is collected.
var chunkPool = sync.Pool{New: func() any { return new([maxChunk]byte) }}

func newChunk(size int) []byte {
	if size == maxChunk {
		return chunkPool.Get().(*[maxChunk]byte)[:0]
	}
	return make([]byte, 0, size)
}

// recycle makes the chunks available to other answers. The body must not be used afterwards.
func (b *Body) recycle() {
	for _, chunk := range b.chunks {
		if cap(chunk) == maxChunk {
			chunkPool.Put((*[maxChunk]byte)(chunk[:maxChunk]))
		}
	}
	b.chunks = nil
}

// Release records that the body is no longer in use, so that its memory is available to other answers. It may be called more than once.
func (b *Body) Release() {
	if b.reservation != nil {
		b.reservation.release()
	}
}

// join returns the body in one piece. For the copy, the body holds twice its length; it returns false if the body was ended for that.
func (b *Body) join() ([]byte, bool) {
	if content, ok := b.Bytes(); ok {
		return content, true
	}
	if !b.reservation.hold(2 * b.length) {
		return nil, false
	}
	content := slices.Concat(b.chunks...)
	b.recycle()
	return content, true
}

// ReadBody reads the whole body into memory. The error is an AnswerTooLargeError if the body exceeds the client's limit, or the memory for all
// answers.
func (s *Stream) ReadBody() (*Body, error) {
	body, err := s.readBody()
	if err == nil && !body.reservation.complete() {
		err = s.endedError(body.length)
	}
	if err != nil {
		s.abandon(body)
		return nil, err
	}
	return body, nil
}

// readJoined reads the whole body into memory, in one piece.
func (s *Stream) readJoined() ([]byte, *Body, error) {
	body, err := s.readBody()
	if err == nil {
		content, ok := body.join()
		if ok && body.reservation.complete() {
			return content, body, nil
		}
		err = s.endedError(body.length)
	}
	s.abandon(body)
	return nil, nil, err
}

// abandon releases the part of a body that was read. The connection may have been aborted, even if the last byte had been read by then.
func (s *Stream) abandon(body *Body) {
	body.recycle()
	body.Release()
	s.complete = false
}

// readBody reads the whole body. It returns the part that was read if there is an error.
func (s *Stream) readBody() (*Body, error) {
	declared, limit := s.resp.Header.ContentLength(), s.trip.client.maxBody
	reader := bodyReader{stream: s, declared: declared, body: &Body{reservation: s.trip.client.memory.reserve(declared >= 0, s.trip.conn.abort)}}
	if s.body == nil {
		s.complete = true
		return reader.body, nil
	}
	if declared > limit {
		return reader.body, s.tooLarge(BoundDeclared, declared, limit)
	}
	err := reader.read(limit)
	if err != nil && reader.body.reservation.wasEnded() {
		err = s.endedError(reader.body.length)
	}
	return reader.body, err
}

// endedError returns the error for an answer that was ended for the memory of others.
func (s *Stream) endedError(read int) error {
	return s.tooLarge(BoundMemory, read, s.trip.client.memory.limit)
}

// tooLarge returns the error for an answer that exceeds the bound, and reports it.
func (s *Stream) tooLarge(bound Bound, read, limit int) error {
	return s.trip.client.tooLarge(s.trip.conn, bound, read, limit)
}

func (c *Client) tooLarge(conn *connection, bound Bound, read, limit int) error {
	err := &AnswerTooLargeError{Server: conn.key, Bound: bound, Read: read, Limit: limit}
	c.onTooLarge(err)
	return err
}

// bodyReader reads a body in pieces, so that no more memory is in use than the reservation holds.
type bodyReader struct {
	stream *Stream
	// declared is the declared length; negative if there is none.
	declared int
	body     *Body
	// held is the size of all chunks.
	held int
}

// errEnded is the error of an answer that was ended for the memory of others.
var errEnded = errors.Wrap(ErrAnswerLost, "ended to free memory")

// read reads the body, unless it is longer than limit.
func (r *bodyReader) read(limit int) error {
	for {
		chunk := newChunk(r.nextSize())
		if !r.body.reservation.hold(r.held + cap(chunk)) {
			return errEnded
		}
		chunk, err := r.fill(chunk)
		if len(chunk) > 0 {
			r.held += cap(chunk)
			r.body.chunks = append(r.body.chunks, chunk)
		}
		switch {
		case r.body.length > limit:
			return r.stream.tooLarge(BoundBody, r.body.length, limit)
		case r.stream.trip.conn.bytesReceived > 2*r.body.length+maxFraming:
			return r.stream.tooLarge(BoundFraming, r.stream.trip.conn.bytesReceived, 2*r.body.length+maxFraming)
		case errors.Is(err, io.EOF):
			if !r.body.reservation.hold(r.held) {
				return errEnded
			}
			return nil
		case err != nil:
			return err
		}
	}
}

// nextSize returns the size of the next chunk. The chunk after the last byte of a declared length takes up the end of the body.
func (r *bodyReader) nextSize() int {
	if r.declared >= 0 {
		return max(1, min(r.declared-r.body.length, maxChunk))
	}
	return min(max(r.body.length, minChunk), maxChunk)
}

// fill reads until the chunk is full or an error occurs.
func (r *bodyReader) fill(chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := r.stream.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		r.body.length += n
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// Discard reads the rest of a short body, so that the connection can be reused. The error is an AnswerTooLargeError if the body is long.
func (s *Stream) Discard() error {
	if s.body == nil {
		s.complete = true
		return nil
	}
	if declared := s.resp.Header.ContentLength(); declared > maxDiscard {
		return s.tooLarge(BoundDiscarded, declared, maxDiscard)
	}
	timeout := time.AfterFunc(discardTimeout, s.trip.conn.abort)
	n, err := io.CopyN(io.Discard, s, maxDiscard+1)
	if !timeout.Stop() {
		s.complete = false
	}
	switch {
	case err == nil:
		return s.tooLarge(BoundDiscarded, int(n), maxDiscard)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// Hold records that the reader of the stream keeps the given number of its bytes until Close. The error is an AnswerTooLargeError if all
// answers together exceed the memory for them, and this one is the largest.
func (s *Stream) Hold(bytes int) error {
	if s.reservation == nil {
		s.reservation = s.trip.client.memory.reserve(false, s.trip.conn.abort)
	}
	if !s.reservation.hold(bytes) {
		return s.tooLarge(BoundMemory, bytes, s.trip.client.memory.limit)
	}
	return nil
}
