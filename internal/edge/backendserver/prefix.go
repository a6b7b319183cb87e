package backendserver

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that placement and the engines' prefix caches
// compare. The prompts of one group share their beginning and differ in their tail. The stand-in
// engine caches prefixes of the same length.
const PrefixBytes = 256

// PrefixHash returns the hash that identifies the prompt's prefix in load requests and cache
// events. It is never 0, which means no prefix there.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return max(xxhash.Sum64String(prompt), 1)
}
