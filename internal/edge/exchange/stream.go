package exchange

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Stream is an answer whose body is read as it arrives. It is not safe for concurrent use.
type Stream struct {
	trip *roundTrip
	// resp and body are nil after Close; body is also nil if the answer has no body.
	resp *fasthttp.Response
	body io.Reader
	// complete is set once the body was read to its end.
	complete bool
	// reservation is the memory that the reader of the stream holds; nil if it holds none.
	reservation *reservation
}

// Status returns the HTTP status of the answer.
func (s *Stream) Status() int {
	return s.resp.StatusCode()
}

// Header returns the header of the answer; its strings are valid until Close.
func (s *Stream) Header() *fasthttp.ResponseHeader {
	return &s.resp.Header
}

// DeclaredLength returns the length of the body in bytes as its server declared it; negative if it didn't, and 0 for an answer without body.
func (s *Stream) DeclaredLength() int {
	if s.body == nil {
		return 0
	}
	return s.resp.Header.ContentLength()
}

// Expect announces that a body of declared length is to be read by ReadBody, after which done must be called. It returns false if the body
// might then be ended because of the other answers that are being read.
func (s *Stream) Expect() (done func(), ok bool) {
	declared := s.DeclaredLength()
	if declared <= protectedBytes {
		return func() {}, true
	}
	return s.trip.client.memory.expect(declared)
}

// Read returns io.EOF only after the whole body; a body that broke off ends with ErrAnswerLost.
func (s *Stream) Read(data []byte) (int, error) {
	if s.resp == nil {
		return 0, errors.WithStack(io.ErrClosedPipe)
	}
	if s.body == nil {
		s.complete = true
		return 0, io.EOF
	}
	n, err := s.body.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if err := s.checkTrailer(); err != nil {
			return n, err
		}
		s.complete = true
		return n, io.EOF
	case s.reservation != nil && s.reservation.wasEnded():
		return n, s.tooLarge(BoundMemory, n, s.trip.client.memory.limit)
	default:
		return n, errors.Wrapf(ErrAnswerLost, "%v", s.trip.cause(err))
	}
}

// Close returns the connection to the pool if the body was read to its end. Otherwise it closes the
// connection, so that the server learns that nobody reads the rest.
func (s *Stream) Close() error {
	if s.resp == nil {
		return nil
	}
	if s.reservation != nil {
		s.reservation.release()
		// The connection of an answer that was ended is aborted, even if its last byte had been read by then.
		s.complete = s.complete && !s.reservation.wasEnded()
	}
	s.trip.finish(s.complete)
	// From here on the library may reuse the response and its body reader.
	fasthttp.ReleaseResponse(s.resp)
	s.resp, s.body = nil, nil
	return nil
}
