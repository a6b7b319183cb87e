package agent

import (
	"bytes"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// Line prefixes of the events in an engine's stream. Each event is a token, except for the closing event.
var (
	eventPrefix        = []byte(`data: `)
	closingEventPrefix = []byte(`data: {"done"`)
)

// tokenCounter counts the tokens in the bytes of a streamed answer.
type tokenCounter struct {
	isModel bool
	// lineStart holds the first bytes of the current line, at most the length of closingEventPrefix.
	lineStart []byte
	count     uint64
}

func newTokenCounter(kind ticket.PoolKind) tokenCounter {
	return tokenCounter{isModel: kind == ticket.KindModel}
}

// add counts the tokens in the next bytes, which may end in the middle of a line.
func (t *tokenCounter) add(p []byte) {
	if !t.isModel {
		return
	}
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			t.extendLineStart(p)
			return
		}
		t.extendLineStart(p[:end])
		if bytes.HasPrefix(t.lineStart, eventPrefix) && !bytes.HasPrefix(t.lineStart, closingEventPrefix) {
			t.count++
		}
		t.lineStart = t.lineStart[:0]
		p = p[end+1:]
	}
}

func (t *tokenCounter) extendLineStart(p []byte) {
	free := len(closingEventPrefix) - len(t.lineStart)
	t.lineStart = append(t.lineStart, p[:min(len(p), max(free, 0))]...)
}
