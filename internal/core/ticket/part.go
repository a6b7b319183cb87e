package ticket

// PoolKind says what the backend servers of a pool do.
type PoolKind string

// The kinds of pools: servers that generate with a model, servers of another service, and servers that score
// samples.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
	KindScoring PoolKind = "scoring"
)

// Organisation is a tenant with its API keys, its share of the pools and its rate limit.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the organisation's share of a fully used pool relative to the other organisations; 1 if absent.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond is the rate limit for each pool, summed over all hosts; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is how many requests may arrive at once in excess of the rate.
	Burst int `json:"burst,omitempty"`
	// KeyHashes are the lower-case hexadecimal SHA-256 sums of the organisation's keys.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Removed removes the organisation from the configuration.
	Removed bool `json:"removed,omitempty"`
}

// Pool is a set of backend servers that serve the same requests.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Model is the model that a pool of kind "model" serves.
	Model string `json:"model,omitempty"`
	// Organisations are the organisations that may use the pool; empty means all.
	Organisations []string `json:"organisations,omitempty"`
	// AvailabilityZones are the zones in which servers are ordered from the platform.
	AvailabilityZones []string `json:"availabilityZones,omitempty"`
	// MinServers and MaxServers bound the number of servers in each availability zone.
	MinServers int `json:"minServers,omitempty"`
	MaxServers int `json:"maxServers,omitempty"`
	// Concurrency is the initial number of requests that one server runs at a time.
	Concurrency int `json:"concurrency,omitempty"`
	// StartupTime is the time from the order of a server until it serves requests.
	StartupTime Duration `json:"startupTime,omitempty"`
	// IdempotentPaths are paths at and below which POST and PATCH requests may be retried.
	IdempotentPaths []string `json:"idempotentPaths,omitempty"`
	Removed         bool     `json:"removed,omitempty"`
}

// TrainerJob is the configuration of one trainer: its model, its scoring pool and the batches that it gets.
type TrainerJob struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Model        string `json:"model"`
	ScoringPool  string `json:"scoringPool,omitempty"`
	// BatchSize is the number of samples in a batch.
	BatchSize int `json:"batchSize"`
	// StalenessBound is how many versions behind the current one the oldest span of a sample may be.
	StalenessBound int `json:"stalenessBound"`
	// MaxTokens is the maximum length of a sample in tokens.
	MaxTokens int  `json:"maxTokens,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// ModelVersion is the version of the weights that the servers of a model serve.
type ModelVersion struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	// Weights is the name of the weights in the weight store.
	Weights string `json:"weights,omitempty"`
}

// Ticket is a change of the configuration that is accepted under a number. Each entry holds the complete new
// state of what it changes.
type Ticket struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	TrainerJobs   []TrainerJob   `json:"trainerJobs,omitempty"`
	ModelVersions []ModelVersion `json:"modelVersions,omitempty"`
}
