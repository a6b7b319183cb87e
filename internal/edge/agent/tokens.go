package agent

import (
	"bytes"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// Openings of the events of an engine's stream: each event is a token but for the closing one.
var (
	eventMark = []byte(`data: `)
	doneMark  = []byte(`data: {"done"`)
)

// tokenCounter counts the tokens of a streamed answer as its bytes pass.
type tokenCounter struct {
	model bool
	line  []byte
	count uint64
}

func newTokenCounter(kind ticket.PoolKind) tokenCounter {
	return tokenCounter{model: kind == ticket.KindModel}
}

// add takes the next bytes, which may end within a line. Only the start of each line is kept.
func (t *tokenCounter) add(p []byte) {
	if !t.model {
		return
	}
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			t.extend(p)
			return
		}
		t.extend(p[:end])
		if bytes.HasPrefix(t.line, eventMark) && !bytes.HasPrefix(t.line, doneMark) {
			t.count++
		}
		t.line = t.line[:0]
		p = p[end+1:]
	}
}

func (t *tokenCounter) extend(p []byte) {
	room := len(doneMark) - len(t.line)
	t.line = append(t.line, p[:min(len(p), max(room, 0))]...)
}
