package backendserver

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that placement and engines look at. Prompts of
// one group differ in their tail; the stand-in engine caches by the same length.
const PrefixBytes = 256

// PrefixHash names the prompt's prefix in load questions and cache events; it is never 0.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return max(xxhash.Sum64String(prompt), 1)
}
