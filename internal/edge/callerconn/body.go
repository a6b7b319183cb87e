package callerconn

import (
	"io"
	"net"
	"slices"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// minChunk and maxChunk bound the pieces in which a body is read. The piece that is being filled is at most as large as what has arrived.
	minChunk = 4 << 10
	maxChunk = 64 << 10
)

// ErrBodyTooLarge is the error of a body that is longer than the limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// Body is the body of a caller's request. It may be read by several calls at once.
type Body struct {
	chunks [][]byte
	length int
}

// Bytes returns the body if it is in one piece, which a body of up to 64 KiB is.
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

// Reader returns a reader from the beginning of the body.
func (b *Body) Reader() io.Reader {
	chunks := net.Buffers(slices.Clone(b.chunks))
	return &chunks
}

// SetTo makes the body that of a request.
func (b *Body) SetTo(request *fasthttp.Request) {
	if content, ok := b.Bytes(); ok {
		request.SetBodyRaw(content)
		return
	}
	request.SetBodyStream(b.Reader(), b.length)
}

// ReadBody reads the body of a request as it arrives, so that the process holds no more of it than has arrived. The error of a body that is
// longer than limit is ErrBodyTooLarge.
func ReadBody(request *fasthttp.Request, limit int) (*Body, error) {
	stream := request.BodyStream()
	if stream == nil {
		return &Body{}, nil
	}
	declared := request.Header.ContentLength()
	if declared > limit {
		return nil, errors.Wrapf(ErrBodyTooLarge, "%d bytes, limit %d", declared, limit)
	}
	body := &Body{}
	for {
		chunk, err := fill(stream, make([]byte, 0, body.nextSize(declared)))
		if body.length += len(chunk); len(chunk) > 0 {
			body.chunks = append(body.chunks, chunk)
		}
		switch {
		case body.length > limit:
			return nil, errors.Wrapf(ErrBodyTooLarge, "limit %d bytes", limit)
		case errors.Is(err, io.EOF):
			body.join()
			return body, nil
		case err != nil:
			return nil, errors.Wrapf(err, "after %d bytes of the body", body.length)
		}
	}
}

// nextSize returns the size of the next chunk. After the last byte of a declared length, one more byte is asked for to find the end.
func (b *Body) nextSize(declared int) int {
	size := min(max(b.length, minChunk), maxChunk)
	if declared >= 0 {
		size = max(1, min(size, declared-b.length))
	}
	return size
}

// join puts a small body into one piece.
func (b *Body) join() {
	if len(b.chunks) > 1 && b.length <= maxChunk {
		b.chunks = [][]byte{slices.Concat(b.chunks...)}
	}
}

// fill reads until the chunk is full or an error occurs.
func fill(reader io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		n, err := reader.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}
