package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// maxInterimBytes bounds the interim answers (status 1xx) before the head of an answer.
const maxInterimBytes = 64 << 10

// MalformedError is the error of an answer that HTTP/1.1 doesn't allow. It matches ErrAnswerLost: the request may have run.
type MalformedError struct {
	// Server is the scheme and the address of the server.
	Server string
	// Fault says what is wrong.
	Fault string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("the answer of %s is malformed: %s", e.Server, e.Fault)
}

// Is reports whether the target is ErrAnswerLost.
func (e *MalformedError) Is(target error) bool { return target == ErrAnswerLost }

// IsMalformed reports whether err says that an answer is malformed.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// head is the head of an answer that is being checked as it arrives, by RFC 9112. The HTTP library reads more than the protocol allows, such
// as a status of 000, which it takes for 200, or a field "Content Length", which it passes on and doesn't take for a length.
type head struct {
	// length is the number of bytes of the lines that have been checked.
	length int
	// status is 0 until the status line has been checked.
	status int
	minor  byte
	// fields is set once there is a field, and transferEncoding if there is one of that name.
	fields, transferEncoding bool
	// unusual is set if the head has a form that the protocol allows and the library doesn't read as intended.
	unusual bool
}

// check checks the lines in data, which begins with the head, that haven't been checked yet. It returns true once the head has ended.
func (h *head) check(data []byte) (bool, error) {
	for {
		end := bytes.IndexByte(data[h.length:], '\n')
		if end < 0 {
			return false, nil
		}
		line, withReturn := bytes.CutSuffix(data[h.length:h.length+end], []byte("\r"))
		h.length += end + 1
		h.unusual = h.unusual || !withReturn
		switch {
		case h.status == 0:
			if err := h.checkStatusLine(line); err != nil {
				return false, err
			}
		case len(line) == 0:
			return true, h.checkWhole()
		default:
			if err := h.checkField(line); err != nil {
				return false, err
			}
		}
	}
}

// versionPrefix begins the status lines of all versions that are compatible with HTTP/1.1.
const versionPrefix = "HTTP/1."

// checkStatusLine checks the version, the status and the reason phrase, which may be missing.
func (h *head) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if minor, ok := bytes.CutPrefix(version, []byte(versionPrefix)); ok && len(minor) == 1 && isDigit(minor[0]) {
		h.minor = minor[0]
	} else {
		return errors.Errorf("status line %.40q: no version of HTTP/1", line)
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || status[0] == '0' || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return errors.Errorf("status line %.40q: no status from 100 on", line)
	}
	if hasControl(reason) {
		return errors.Errorf("status line %.40q: control character", line)
	}
	h.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	// The library takes a later minor version for 1.0.
	h.unusual = h.unusual || h.minor > '1'
	return nil
}

// checkField checks the line of a field, or one that continues it.
func (h *head) checkField(line []byte) error {
	if hasControl(line) {
		return errors.Errorf("field %.40q: control character", line)
	}
	if isBlank(line[0]) {
		if !h.fields {
			return errors.Errorf("field %.40q: continues no field", line)
		}
		h.unusual = true
		return nil
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("field %.40q: no name", line)
	}
	h.fields = true
	h.transferEncoding = h.transferEncoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	return nil
}

// checkWhole checks what concerns several lines.
func (h *head) checkWhole() error {
	switch {
	case h.status == fasthttp.StatusSwitchingProtocols:
		return errors.New("status 101: no other protocol was requested")
	case h.minor == '0' && h.transferEncoding:
		// Whether the sender meant the framing can't be told.
		return errors.New("transfer encoding in HTTP/1.0")
	default:
		return nil
	}
}

// isInterim reports whether another head follows.
func (h *head) isInterim() bool { return h.status < fasthttp.StatusOK }

// appendUsual appends the head in the form that the library reads as intended: HTTP/1.1 or 1.0, and one line for each field, with its line end.
func appendUsual(to, raw []byte) []byte {
	for i := 0; len(raw) > 0; i++ {
		var line []byte
		line, raw, _ = bytes.Cut(raw, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case i == 0 && line[len(versionPrefix)] > '1':
			to = append(append(to, versionPrefix+"1"...), line[len(versionPrefix)+1:]...)
		case len(line) > 0 && isBlank(line[0]):
			to = append(append(bytes.TrimSuffix(to, []byte("\r\n")), ' '), bytes.TrimLeft(line, " \t")...)
		default:
			to = append(to, line...)
		}
		to = append(to, "\r\n"...)
	}
	return to
}

// awaitHead returns once the reader holds the checked head of the answer, in the form that the library reads as intended. Interim answers are
// discarded. The error is bufio.ErrBufferFull if a head exceeds the reader's buffer, or the interim answers their bound.
func (c *connection) awaitHead() error {
	for interim := 0; interim <= maxInterimBytes; {
		h, err := c.peekHead()
		if err != nil {
			return err
		}
		if !h.isInterim() {
			return c.makeUsual(h)
		}
		n, err := c.reader.Discard(h.length)
		if err != nil {
			return err
		}
		interim += n
	}
	return bufio.ErrBufferFull
}

// peekHead returns once the reader holds a whole head, which has been checked. A malformed head isn't awaited to its end.
func (c *connection) peekHead() (head, error) {
	var h head
	for awaited := 1; ; awaited = c.reader.Buffered() + 1 {
		_, readErr := c.reader.Peek(awaited)
		// What is buffered can be peeked at without reading.
		data, _ := c.reader.Peek(c.reader.Buffered())
		whole, err := h.check(data)
		switch {
		case err != nil:
			return h, &MalformedError{Server: c.key, Fault: err.Error()}
		case whole:
			return h, nil
		case readErr != nil:
			return h, readErr
		}
	}
}

// makeUsual replaces a head of an unusual form, which the reader holds.
func (c *connection) makeUsual(h head) error {
	if !h.unusual {
		return nil
	}
	data, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.replaced = append(appendUsual(nil, data[:h.length]), data[h.length:]...)
	_, err = c.reader.Discard(len(data))
	return err
}

// checkTrailer checks the names of fields after a chunked body. The library checks their values.
func (s *Stream) checkTrailer() error {
	for name := range s.resp.Header.Trailers() {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			malformed := &MalformedError{Server: s.trip.conn.key, Fault: fmt.Sprintf("trailer field %.40q: no name", name)}
			s.trip.client.onMalformed(malformed)
			return malformed
		}
	}
	return nil
}

// hasControl reports whether the text contains a control character other than a tab.
func hasControl(text []byte) bool {
	return slices.ContainsFunc(text, func(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }
