package callerconn

import (
	"bytes"
	"math"
	"strconv"
)

// chunkState is the position in a chunked body.
type chunkState uint8

// The states of a chunked body. A size line ends with a line feed, so does the line after each chunk, and the trailer with an empty line.
const (
	chunkSize chunkState = iota
	// chunkExtension is the rest of a size line.
	chunkExtension
	chunkData
	chunkEnd
	trailerLine
	trailerText
	chunksDone
)

// framing follows where the body of a request ends. The library decodes the body and refuses what is malformed: framing only has to agree with
// it on well-formed bodies.
type framing struct {
	chunked bool
	state   chunkState
	// left is the number of bytes until the end of the body or of the present chunk.
	left int
}

// bodyFraming returns the framing that a head declares.
func bodyFraming(head []byte) framing {
	var f framing
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch value = bytes.TrimSpace(value); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err := strconv.Atoi(string(value)); err == nil && length > 0 {
				f.left = length
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")) && bytes.EqualFold(value, []byte("chunked")):
			f.chunked = true
		}
	}
	if f.chunked {
		f.left = 0
	}
	return f
}

// done reports whether the body has ended.
func (f *framing) done() bool {
	if f.chunked {
		return f.state == chunksDone
	}
	return f.left == 0
}

// maxOverread bounds how many bytes are read beyond the end of a chunk.
const maxOverread = 4 << 10

// maxRead returns how many bytes may be read from the connection. Of a chunked body a few more may be read than belong to it.
func (f *framing) maxRead() int {
	if f.chunked {
		return min(f.left, math.MaxInt-maxOverread) + maxOverread
	}
	return f.left
}

// scan advances by received bytes. It returns how many of them belong to the body, and how many of those are its content.
func (f *framing) scan(data []byte) (used, content int) {
	if !f.chunked {
		used = min(len(data), f.left)
		f.left -= used
		return used, used
	}
	for used < len(data) && f.state != chunksDone {
		if f.state == chunkData {
			n := min(len(data)-used, f.left)
			f.left -= n
			used += n
			content += n
			if f.left == 0 {
				f.state = chunkEnd
			}
			continue
		}
		f.step(data[used])
		used++
	}
	return used, content
}

// step advances by one byte outside of a chunk's data.
func (f *framing) step(b byte) {
	switch f.state {
	case chunkSize, chunkExtension:
		f.stepSize(b)
	case chunkEnd:
		if b == '\n' {
			f.state, f.left = chunkSize, 0
		}
	case trailerLine:
		switch b {
		case '\n':
			f.state = chunksDone
		case '\r':
		default:
			f.state = trailerText
		}
	case trailerText:
		if b == '\n' {
			f.state = trailerLine
		}
	case chunkData, chunksDone:
		// scan handles these.
	}
}

func (f *framing) stepSize(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\n' && f.left > 0:
		f.state = chunkData
	case b == '\n':
		f.state = trailerLine
	case f.state == chunkSize && isDigit:
		f.left = min(f.left, math.MaxInt>>5)<<4 | digit
	default:
		f.state = chunkExtension
	}
}

func hexDigit(b byte) (int, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10, true
	default:
		return 0, false
	}
}

// headEnd returns the length of the head with which data begins; 0 if it isn't complete. The first known bytes are known to contain no end.
// Line ends before the request line are part of the head.
func headEnd(data []byte, known int) int {
	begin := 0
	for begin < len(data) && (data[begin] == '\r' || data[begin] == '\n') {
		begin++
	}
	for from := max(begin, known-len("\n\r")); ; {
		at := bytes.IndexByte(data[from:], '\n')
		if at < 0 {
			return 0
		}
		from += at + 1
		rest := bytes.TrimPrefix(data[from:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(data) - len(rest) + 1
		}
	}
}

// countFields returns an upper bound of the number of header lines, cookies and query arguments in a head.
func countFields(head []byte) int {
	return bytes.Count(head, []byte("\n")) + bytes.Count(head, []byte(";")) + bytes.Count(head, []byte("&"))
}
