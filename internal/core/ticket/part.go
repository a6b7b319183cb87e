package ticket

// PoolKind is what the backend servers of a pool do.
type PoolKind string

// The kinds of pools.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
	KindScoring PoolKind = "scoring"
)

// Organisation is a tenant with its keys, its fair share and its limits.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the share in a full pool relative to the other organisations; 1 if absent.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond is the limit at each pool over all hosts; 0 is no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is how many requests may come at once beyond the rate.
	Burst int `json:"burst,omitempty"`
	// KeyHashes are the lower-case hexadecimal SHA-256 sums of the organisation's keys.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Removed takes the organisation out.
	Removed bool `json:"removed,omitempty"`
}

// Pool is a set of backend servers that serve the same requests.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Model is what a model pool serves.
	Model string `json:"model,omitempty"`
	// Organisations that may use the pool; empty means all.
	Organisations []string `json:"organisations,omitempty"`
	// AvailabilityZones in which servers are ordered.
	AvailabilityZones []string `json:"availabilityZones,omitempty"`
	// MinServers and MaxServers bound the servers of one availability zone.
	MinServers int `json:"minServers,omitempty"`
	MaxServers int `json:"maxServers,omitempty"`
	// Concurrency is the number of requests that one server runs at a time at first.
	Concurrency int `json:"concurrency,omitempty"`
	// StartupTime is how long an ordered server takes until it serves.
	StartupTime Duration `json:"startupTime,omitempty"`
	// IdempotentPaths are paths whose POST and PATCH calls, and those of the paths below them, may be repeated.
	IdempotentPaths []string `json:"idempotentPaths,omitempty"`
	Removed         bool     `json:"removed,omitempty"`
}

// TrainerJob is one trainer with its model, scoring pool and batch shape.
type TrainerJob struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Model        string `json:"model"`
	ScoringPool  string `json:"scoringPool,omitempty"`
	// BatchSize is the number of samples in a batch.
	BatchSize int `json:"batchSize"`
	// StalenessBound is how many versions older than the current one the oldest span of a sample may be.
	StalenessBound int `json:"stalenessBound"`
	// MaxTokens bounds a sample's length.
	MaxTokens int  `json:"maxTokens,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// ModelVersion is the weight version that a model's servers are to serve.
type ModelVersion struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights,omitempty"`
}

// Ticket is a numbered change; each entry carries the whole new state of what it touches.
type Ticket struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	TrainerJobs   []TrainerJob   `json:"trainerJobs,omitempty"`
	ModelVersions []ModelVersion `json:"modelVersions,omitempty"`
}
