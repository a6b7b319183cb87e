package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// generation collects the tokens of one generation over all its tries.
type generation struct {
	sampleID  string
	prompt    string
	maxTokens int
	seed      int64
	tokens    []backendserver.Token
	// onToken receives each token once, in order.
	onToken func(backendserver.Token) error
}

func newGeneration(prompt string, maxTokens int, seed int64, resume []backendserver.Token) *generation {
	return &generation{
		prompt:    prompt,
		maxTokens: maxTokens,
		seed:      seed,
		tokens:    resume,
		onToken:   func(backendserver.Token) error { return nil },
	}
}

// message asks the engine to go on from the tokens that have come so far.
func (g *generation) message() request.Execute {
	body, err := json.Marshal(backendserver.GenerateRequest{
		SampleID:  g.sampleID,
		Prompt:    g.prompt,
		Resume:    g.tokens,
		MaxTokens: g.maxTokens,
		Seed:      g.seed,
	})
	if err != nil {
		// Strings and numbers always encode; an empty body would be refused by the engine.
		body = nil
	}
	return enginePost(body)
}

// consume reads the engine's stream of events.
//
// Guard: an engine that ends its stream early looks like a short but whole answer. Only an answer with
// the closing event counts; without it the generation resumes elsewhere.
func (g *generation) consume(answer *peer.Answer[request.AnswerEnd]) error {
	if status := answer.Head().Status; status != http.StatusOK {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, noServerRetry, "the engine answered %d", status)
	}
	before := len(g.tokens)
	var pending []byte
	done := false
	for {
		chunk, err := answer.Next()
		pending = append(pending, chunk...)
		rest, ended, lineErr := g.lines(pending, before)
		if lineErr != nil {
			return lineErr
		}
		pending = rest
		done = done || ended
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if !done {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, noServerRetry, "the engine's stream ended early")
	}
	return nil
}

// lines takes the whole lines out of data and returns the rest; before is the number of tokens at the start of this answer.
func (g *generation) lines(data []byte, before int) (rest []byte, done bool, err error) {
	for {
		line, after, found := bytes.Cut(data, []byte("\n"))
		if !found {
			return data, done, nil
		}
		data = after
		payload, isData := bytes.CutPrefix(line, []byte("data: "))
		if !isData {
			continue
		}
		ended, err := g.event(payload, before)
		if err != nil {
			return nil, false, err
		}
		done = done || ended
	}
}

func (g *generation) event(payload []byte, before int) (done bool, err error) {
	var event backendserver.Event
	if err := json.Unmarshal(payload, &event); err != nil {
		return false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, noServerRetry, "the engine sent an unreadable event: %v", err)
	}
	if event.Done && event.Tokens != len(g.tokens)-before {
		return false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, noServerRetry,
			"the engine sent %d tokens and says %d", len(g.tokens)-before, event.Tokens)
	}
	if event.Done {
		return true, nil
	}
	token := backendserver.Token{Text: event.Text, Version: event.Version}
	g.tokens = append(g.tokens, token)
	if err := g.onToken(token); err != nil {
		return false, errors.Wrap(errReceiver, err.Error())
	}
	return false, nil
}

func (g *generation) answer() generateAnswer {
	var text strings.Builder
	for _, token := range g.tokens {
		text.WriteString(token.Text)
	}
	return generateAnswer{Text: text.String(), Tokens: len(g.tokens), Spans: delivery.Spans(sampleTokens(g.tokens))}
}
