package entry

import (
	"bufio"
	"encoding/json"
	"sync"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// maxQueuedTokens is how many tokens may wait for a slow caller before its generation is blocked.
const maxQueuedTokens = 256

// tokenEvent carries one streamed token.
type tokenEvent struct {
	Text    string `json:"text"`
	Version int    `json:"version"`
}

// doneEvent ends a complete stream; a stream without it was cut off.
type doneEvent struct {
	Done   bool            `json:"done"`
	Tokens int             `json:"tokens"`
	Spans  []delivery.Span `json:"spans"`
}

// eventQueue passes the tokens of one generation to the writer of its stream.
type eventQueue struct {
	tokens chan tokenEvent
	ended  chan struct{}
	answer generateAnswer
	err    error
	// started is closed at the first token or at the end.
	started     chan struct{}
	startedOnce sync.Once
	// writerStopped is closed when copyTo returns, after which no token is read from the queue.
	writerStopped     chan struct{}
	writerStoppedOnce sync.Once
}

func newEventQueue() *eventQueue {
	return &eventQueue{
		tokens:        make(chan tokenEvent, maxQueuedTokens),
		ended:         make(chan struct{}),
		started:       make(chan struct{}),
		writerStopped: make(chan struct{}),
	}
}

// push queues one token. It blocks while the queue is full, and fails once the stream's writer has stopped.
func (q *eventQueue) push(token backendserver.Token) error {
	select {
	case q.tokens <- tokenEvent{Text: token.Text, Version: token.Version}:
	case <-q.writerStopped:
		return errReceiverGone
	}
	q.startedOnce.Do(func() { close(q.started) })
	return nil
}

func (q *eventQueue) finish(answer generateAnswer, err error) {
	q.answer = answer
	q.err = err
	close(q.ended)
	q.startedOnce.Do(func() { close(q.started) })
}

// waitFirst waits for the first token, and returns the error of a generation that ended without one.
func (q *eventQueue) waitFirst() error {
	<-q.started
	if len(q.tokens) > 0 {
		return nil
	}
	select {
	case <-q.ended:
		return q.err
	default:
		return nil
	}
}

// copyTo writes all events, and returns the refusal that ended the stream, if any.
func (q *eventQueue) copyTo(w *bufio.Writer) *verdict.Refusal {
	defer q.writerStoppedOnce.Do(func() { close(q.writerStopped) })
	for {
		select {
		case token := <-q.tokens:
			if !writeEvent(w, "", token) {
				return nil
			}
		case <-q.ended:
			return q.drainTo(w)
		}
	}
}

func (q *eventQueue) drainTo(w *bufio.Writer) *verdict.Refusal {
	for len(q.tokens) > 0 {
		if !writeEvent(w, "", <-q.tokens) {
			return nil
		}
	}
	if q.err != nil {
		refusal := verdict.From(q.err)
		writeEvent(w, "refusal", refusal)
		return refusal
	}
	writeEvent(w, "", doneEvent{Done: true, Tokens: q.answer.Tokens, Spans: q.answer.Spans})
	return nil
}

// writeEvent writes one server-sent event and flushes it; it returns false if that fails.
func writeEvent(w *bufio.Writer, name string, value any) bool {
	body, err := json.Marshal(value)
	if err != nil {
		return false
	}
	if name != "" {
		_, err = w.WriteString("event: " + name + "\n")
	}
	if err == nil {
		_, err = w.WriteString("data: " + string(body) + "\n\n")
	}
	return err == nil && w.Flush() == nil
}
