// Package bench measures the cost of sending a request through an entry and an agent compared with a direct call of the
// backend server, and the cost of slow or stalled engines for a trainer's step. It contains only benchmarks. Entries, agents
// and stand-ins run in one process over loopback TCP, so the cost of the path is the difference from a direct call by the same client.
//
//	go test ./internal/program/bench -run none -bench . -benchtime 1x
package bench
