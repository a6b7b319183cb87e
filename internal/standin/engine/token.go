package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
)

// DefaultMaxTokens is the length bound of a request that names none.
const DefaultMaxTokens = 32

// words are what the engine writes.
var words = []string{
	"landing", "parking", "fee", "tower", "log", "line", "stand", "gate",
	"pony", "lesson", "ride", "groom", "saddle", "trail", "stable", "booking",
}

// hash depends on what has to give the same tokens wherever the request runs.
func hash(ask backendserver.GenerateRequest, index int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", ask.SampleID, ask.Prompt, ask.Seed, index))
}

// tokenText returns the token at the index of the whole answer.
func tokenText(ask backendserver.GenerateRequest, index int) string {
	return words[hash(ask, index)%uint64(len(words))] + " "
}

// lengthOf returns the length of the whole answer, between a half and the whole of the bound.
func lengthOf(ask backendserver.GenerateRequest) int {
	bound := ask.MaxTokens
	if bound <= 0 {
		bound = DefaultMaxTokens
	}
	half := bound / 2
	return max(1, bound-int(hash(ask, -1)%uint64(half+1)))
}
