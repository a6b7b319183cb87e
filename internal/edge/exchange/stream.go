package exchange

import (
	"io"

	"github.com/pkg/errors"
)

// Stream is the body of an answer. It has one reader.
type Stream struct {
	call  *call
	body  io.Reader
	whole bool
	done  bool
}

// Read returns io.EOF only after the body came whole; a body that was cut short ends with ErrLost.
func (s *Stream) Read(data []byte) (int, error) {
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
	if !s.done {
		s.done = true
		s.call.finish(s.whole)
	}
	return nil
}
