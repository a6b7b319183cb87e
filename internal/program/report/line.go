package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a log line. Longer lines are skipped; the lines that are read here take a few hundred bytes.
const maxLineBytes = 1 << 20

// Messages of the log lines that the report uses.
const (
	messageSubmitted    = "batch job submitted"
	messageStarted      = "item started"
	messageMoved        = "item moved"
	messageCompleted    = "item completed"
	messageNotCompleted = "item run not completed"
	messageEnded        = "batch job ended by its trainer"
	messagePage         = "page write resolved"
)

var usedMessages = map[string]bool{
	messageSubmitted: true, messageStarted: true, messageMoved: true, messageCompleted: true, messageNotCompleted: true,
	messageEnded: true, messagePage: true,
}

// entryLine is a log line of an entry. Fields that a message doesn't have are zero.
type entryLine struct {
	Message string    `json:"message"`
	Time    time.Time `json:"time"`
	HostID  string    `json:"hostId"`
	Request string    `json:"request"`
	Step    int       `json:"step"`
	Model   string    `json:"model"`
	Items   int       `json:"items"`
	Item    string    `json:"item"`
	Group   string    `json:"group"`
	Server  string    `json:"server"`
	// From and To are the servers of a move.
	From      string `json:"from"`
	To        string `json:"to"`
	FromEvent int    `json:"fromEvent"`
	LastEvent int    `json:"lastEvent"`
	// Took is the time of a run in milliseconds.
	Took    float64 `json:"took"`
	Outcome string  `json:"outcome"`

	// at is the line's time in seconds, since the start of a test day if prefixed is set, otherwise since 1970.
	at       float64
	prefixed bool
}

// errUnused marks lines that the report doesn't use.
var errUnused = errors.New("unused line")

// parseLine decodes a line, which may begin with a prefix such as a time in seconds and a host name. It returns errUnused
// for lines of other messages and for lines that aren't log lines.
func parseLine(raw []byte) (entryLine, error) {
	var line entryLine
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return line, errUnused
	}
	if err := json.Unmarshal(raw[begin:], &line); err != nil {
		if namesUsedMessage(raw[begin:]) {
			return line, errors.Wrap(err, "log line")
		}
		return line, errUnused
	}
	if !usedMessages[line.Message] {
		return line, errUnused
	}
	if line.Request == "" {
		return line, errors.Errorf("%q without the field request", line.Message)
	}
	if err := line.readPrefix(strings.Fields(string(raw[:begin]))); err != nil {
		return line, err
	}
	return line, nil
}

// namesUsedMessage reports whether the line has one of the messages that the report uses.
func namesUsedMessage(raw []byte) bool {
	for message := range usedMessages {
		if bytes.Contains(raw, []byte(`"message":"`+message+`"`)) {
			return true
		}
	}
	return false
}

// readPrefix sets the line's time and host. The prefix takes precedence over the line's fields.
func (l *entryLine) readPrefix(prefix []string) error {
	if len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			l.at, l.prefixed = seconds, true
			prefix = prefix[1:]
		}
	}
	if l.HostID == "" && len(prefix) > 0 {
		l.HostID = prefix[0]
	}
	if l.prefixed {
		return nil
	}
	if l.Time.IsZero() {
		return errors.Errorf("%q without a time, neither as a prefix in seconds nor in the field time", l.Message)
	}
	l.at = float64(l.Time.UnixMicro()) / 1e6
	return nil
}

// counts are the numbers of lines read and not used.
type counts struct {
	read, skipped int
}

// readFile calls use for each line of the file that the report uses, and counts the others. Only one line is held in memory.
func readFile(path string, use func(entryLine) error) (counts, error) {
	var n counts
	file, err := os.Open(path)
	if err != nil {
		return n, errors.Wrap(err, "log file")
	}
	defer func() {
		// Nothing was written; a failing close changes nothing about the lines read.
		_ = file.Close()
	}()
	reader := bufio.NewReaderSize(file, maxLineBytes)
	for {
		raw, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(raw) == 0 {
			return n, nil
		}
		n.read++
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			n.skipped++
			if err := skipToLineEnd(reader); err != nil {
				return n, errors.Wrapf(err, "%s:%d", path, n.read)
			}
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return n, errors.Wrapf(err, "%s:%d", path, n.read)
		}
		line, err := parseLine(raw)
		if err == nil {
			err = use(line)
		}
		if errors.Is(err, errUnused) {
			n.skipped++
		} else if err != nil {
			return n, errors.Wrapf(err, "%s:%d", path, n.read)
		}
	}
}

// skipToLineEnd reads the rest of a line that is longer than the buffer.
func skipToLineEnd(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}
