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

// maxGenerationBytes bounds the text of a generation.
const maxGenerationBytes = 4 << 20

// generation collects the tokens of one generation over all its attempts.
type generation struct {
	sampleID  string
	prompt    string
	maxTokens int
	seed      int64
	tokens    []backendserver.Token
	// textBytes is the length of the text of the tokens that were received.
	textBytes int
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

// message builds a request that resumes from the tokens received so far.
func (g *generation) message() request.Execute {
	body, err := json.Marshal(backendserver.GenerateRequest{
		SampleID:  g.sampleID,
		Prompt:    g.prompt,
		Resume:    g.tokens,
		MaxTokens: g.maxTokens,
		Seed:      g.seed,
	})
	if err != nil {
		// Strings and numbers always encode; the backend server would refuse an empty body.
		body = nil
	}
	return enginePost(body)
}

// consume reads the backend server's stream of events.
//
// Only an answer with the closing event is complete. A stream that ends early would otherwise look like a short but
// complete answer; without the closing event the generation resumes on another server.
func (g *generation) consume(answer *peer.Answer[request.AnswerEnd]) error {
	if status := answer.Head().Status; status != http.StatusOK {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter, "the engine answered %d", status)
	}
	tokensBefore := len(g.tokens)
	var pending []byte
	// unfinished counts the bytes since the last token.
	unfinished := 0
	done := false
	for {
		chunk, err := answer.Next()
		pending = append(pending, chunk...)
		tokens := len(g.tokens)
		rest, ended, lineErr := g.parseLines(pending, tokensBefore)
		if lineErr != nil {
			return lineErr
		}
		pending = rest
		if unfinished += len(chunk); len(g.tokens) > tokens {
			unfinished = len(rest)
		}
		if unfinished > backendserver.MaxEventBytes {
			return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter, "the engine sent %d bytes without an event", unfinished)
		}
		done = done || ended
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if !done {
		return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter, "the engine's stream ended early")
	}
	return nil
}

// parseLines handles the complete lines of data and returns the rest; tokensBefore is the number of tokens before this
// answer.
func (g *generation) parseLines(data []byte, tokensBefore int) (rest []byte, done bool, err error) {
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
		ended, err := g.handleEvent(payload, tokensBefore)
		if err != nil {
			return nil, false, err
		}
		done = done || ended
	}
}

func (g *generation) handleEvent(payload []byte, tokensBefore int) (done bool, err error) {
	var event backendserver.Event
	if err := json.Unmarshal(payload, &event); err != nil {
		return false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter,
			"the engine sent an unreadable event: %v", err)
	}
	if event.Done && event.Tokens != len(g.tokens)-tokensBefore {
		return false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter,
			"the engine sent %d tokens and says %d", len(g.tokens)-tokensBefore, event.Tokens)
	}
	if event.Done {
		return true, nil
	}
	g.textBytes += len(event.Text)
	if len(g.tokens) >= g.maxTokens || g.textBytes > maxGenerationBytes {
		return false, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonServerFailed, unavailableRetryAfter,
			"the engine sent more than %d tokens or %d bytes", g.maxTokens, maxGenerationBytes)
	}
	token := backendserver.Token{Text: event.Text, Version: event.Version}
	g.tokens = append(g.tokens, token)
	if err := g.onToken(token); err != nil {
		return false, errors.Wrap(errReceiverGone, err.Error())
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
