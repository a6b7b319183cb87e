// Package usage counts what ran at backend servers and sums it up per window, so that
// every copy and every repeat of a count is harmless.
package usage

import "time"

// Amount is what an organisation used. Each field only grows within a cell.
type Amount struct {
	Requests uint64 `json:"requests" msgpack:"r"`
	Tokens   uint64 `json:"tokens" msgpack:"t"`
	// ServerTime is the time spent at backend servers.
	ServerTime time.Duration `json:"serverTime" msgpack:"s"`
}

// Cell names one growing counter. It has a single writer, the agent's incarnation. The entry is not part of it: the
// counter that travels with an answer covers that answer and all before it, so the highest copy at any entry covers
// every answer that a caller has seen. A counter for each entry would make many more and hold no more.
type Cell struct {
	Agent        uint64 `json:"agent" msgpack:"a"`
	Organisation string `json:"organisation" msgpack:"o"`
	// Window is the start of the usage window in Unix seconds.
	Window int64 `json:"window" msgpack:"w"`
}

// Count is the value of a cell, as it travels with the closing frame of an answer.
type Count struct {
	Cell   Cell   `json:"cell" msgpack:"c"`
	Amount Amount `json:"amount" msgpack:"m"`
}
