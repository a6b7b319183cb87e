// Package backendserver holds the HTTP clients for the backend servers (model engines, plain
// services, scoring services and the weight store) and the JSON types that both sides share.
package backendserver

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Paths of the backend servers' HTTP interfaces.
const (
	PathGenerate    = "/generate"
	PathLoad        = "/load"
	PathOrders      = "/orders"
	PathCancel      = "/cancel"
	PathCacheEvents = "/cacheEvents"
	PathScore       = "/score"
	PathWeights     = "/weights"
)

// QueryAfter is the query parameter that holds the sequence number after which cache events are
// requested.
const QueryAfter = "after"

// Token is one generated token with the weight version that produced it.
type Token struct {
	Text    string `json:"text"`
	Version int    `json:"version"`
}

// GenerateRequest asks an engine for the tokens that follow the prompt and the tokens of Resume.
type GenerateRequest struct {
	SampleID string `json:"sampleId"`
	Prompt   string `json:"prompt"`
	// Resume are the tokens that were generated before; the engine doesn't send them again.
	Resume []Token `json:"resume,omitempty"`
	// MaxTokens bounds the length of the sample, the tokens of Resume included.
	MaxTokens int `json:"maxTokens"`
	// Priority orders waiting requests; a lower number goes first.
	Priority int   `json:"priority,omitempty"`
	Seed     int64 `json:"seed,omitempty"`
}

// Event is one server-sent event of an engine: a token, or at the end Done with the number of
// tokens sent in this answer.
type Event struct {
	Text    string `json:"text,omitempty"`
	Version int    `json:"version,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
}

// EngineLoad is an engine's report of its load, which lags behind its actual load.
type EngineLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// Version is the weight version in use.
	Version int `json:"version"`
	// Prefetched are the weight versions that are loaded, so that the engine can switch to them at once.
	Prefetched []int `json:"prefetched,omitempty"`
	// TokenTime is the time to generate one token at the current batch size.
	TokenTime time.Duration `json:"tokenTimeNanoseconds"`
	// Slowdown is the factor by which work takes longer than usual at the moment; 0 if the engine doesn't report it.
	Slowdown float64 `json:"slowdown,omitempty"`
	// MeasuredAt is when the load was as reported.
	MeasuredAt time.Time `json:"measured"`
}

// OrderKind is the kind of a weight order.
type OrderKind string

// The kinds of weight orders.
const (
	// OrderPrefetch makes the engine load weights in addition to those in use.
	OrderPrefetch OrderKind = "prefetch"
	// OrderSwitch makes the engine generate all later tokens with the version, which it loads first if necessary.
	OrderSwitch OrderKind = "switch"
)

// WeightOrder tells an engine which weights to load or to use.
type WeightOrder struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version int       `json:"version"`
	// Weights is the name of the weights in the weight store.
	Weights string `json:"weights"`
	// Fencing is the order's fencing number, the version of the lease under which it is given. Some
	// engines ignore it.
	Fencing platform.Version `json:"fencing"`
}

// CancelRequest ends the generation of a sample.
type CancelRequest struct {
	SampleID string `json:"sampleId"`
}

// CacheEventKind says what happened to a cached prompt prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent says that an engine cached or evicted a prompt prefix. Lost events leave gaps in the
// sequence numbers.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Prefix is the PrefixHash of the prompt.
	Prefix uint64 `json:"prefix"`
}

// CacheEventList is the answer to a read of cache events.
type CacheEventList struct {
	Events []CacheEvent `json:"events"`
}

// ScoreRequest asks for the score of one sample.
type ScoreRequest struct {
	SampleID string `json:"sampleId"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Score is the score of one sample.
type Score struct {
	SampleID string  `json:"sampleId"`
	Value    float64 `json:"value"`
}
