package exchange

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Stream is an answer whose body is read as it comes. It has one reader.
type Stream struct {
	call  *call
	resp  *fasthttp.Response
	body  io.Reader
	whole bool
}

// Status returns the status of the answer.
func (s *Stream) Status() int {
	return s.resp.StatusCode()
}

// Header returns the header of the answer; its strings are valid until Close.
func (s *Stream) Header() *fasthttp.ResponseHeader {
	return &s.resp.Header
}

// Read returns io.EOF only after the body came whole; a body that was cut short ends with ErrLost.
func (s *Stream) Read(data []byte) (int, error) {
	if s.resp == nil {
		return 0, errors.WithStack(io.ErrClosedPipe)
	}
	if s.body == nil {
		s.whole = true
		return 0, io.EOF
	}
	n, err := s.body.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		s.whole = true
		return n, io.EOF
	default:
		return n, errors.Wrapf(ErrLost, "%v", s.call.cause(err))
	}
}

// Close gives the connection back if the body was read to its end, and closes it otherwise, by
// which the server learns that nobody reads on.
func (s *Stream) Close() error {
	if s.resp == nil {
		return nil
	}
	s.call.finish(s.whole)
	// The library reuses the response and its body reader from here on.
	fasthttp.ReleaseResponse(s.resp)
	s.resp, s.body = nil, nil
	return nil
}
