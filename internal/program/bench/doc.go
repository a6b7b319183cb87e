// Package bench measures what the path of a request through an entry and an agent costs against a direct call of the
// backend server, and what stragglers cost a trainer's step. It holds benchmarks only: entries, agents and stand-ins
// run in one process over loopback TCP, so the cost of the path is the difference to a direct call by the same client.
//
//	go test ./internal/program/bench -run none -bench . -benchtime 1x
package bench
