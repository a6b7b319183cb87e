package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// DefaultMaxTokens is the token limit of a request that sets none.
const DefaultMaxTokens = 32

// words are the possible tokens.
var words = []string{
	"landing", "parking", "fee", "tower", "log", "line", "stand", "gate",
	"pony", "lesson", "ride", "groom", "saddle", "trail", "stable", "booking",
}

// tokenHash hashes the inputs that must yield the same tokens on every engine.
func tokenHash(req backendserver.GenerateRequest, index int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", req.SampleID, req.Prompt, req.Seed, index))
}

// tokenText returns the token at the index of the complete answer.
func tokenText(req backendserver.GenerateRequest, index int) string {
	return words[tokenHash(req, index)%uint64(len(words))] + " "
}

// answerLength returns the number of tokens of the complete answer, between half the limit and the limit.
func answerLength(req backendserver.GenerateRequest) int {
	limit := req.MaxTokens
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	half := limit / 2
	return max(1, limit-int(tokenHash(req, -1)%uint64(half+1)))
}
