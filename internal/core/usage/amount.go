// Package usage counts what ran at backend servers and sums it up per window. Copies and
// repeats of a count don't change the sums.
package usage

import "time"

// Amount is the usage of an organisation. Within a cell each field only grows.
type Amount struct {
	Requests uint64 `json:"requests" msgpack:"r"`
	Tokens   uint64 `json:"tokens" msgpack:"t"`
	// ServerTime is the total time that requests spent at backend servers.
	ServerTime time.Duration `json:"serverTime" msgpack:"s"`
}

// Cell identifies one grow-only counter. The counter has a single writer, the agent's process. The entry is not part of the
// key: the count that an agent sends with an answer covers that answer and all before it, so the highest copy at any entry
// covers every answer that a caller has seen. A counter for each entry would need many more cells and hold no more information.
type Cell struct {
	// Agent is the incarnation of the agent's process.
	Agent        uint64 `json:"agent" msgpack:"a"`
	Organisation string `json:"organisation" msgpack:"o"`
	// Window is the start of the usage window in Unix seconds.
	Window int64 `json:"window" msgpack:"w"`
}

// Count is the value of a cell. An agent sends it in the last frame of an answer.
type Count struct {
	Cell   Cell   `json:"cell" msgpack:"c"`
	Amount Amount `json:"amount" msgpack:"m"`
}
