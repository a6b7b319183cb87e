package backend

import "time"

// LoadReport is the load that a server reported in an answer.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running, Waiting int
	// Slots is how many requests the server runs at once; 0 if it didn't say.
	Slots int
	// Slowdown is how many times as long as usual work takes on the server's host at the moment; 0 if the server didn't say. The choice of a
	// server uses it only in pools whose servers differ in speed, and only with speed placement: see package pace.
	Slowdown float64
}

// Requests returns the number of requests at the server.
func (l LoadReport) Requests() int { return l.Running + l.Waiting }

// receivedLoad is a load report with the time of its receipt.
type receivedLoad struct {
	LoadReport
	at time.Time
}

// requests returns the number of requests that a recent report counted; 0 if there is none.
func (l receivedLoad) requests(now time.Time) int {
	if now.Sub(l.at) >= loadReportTTL {
		return 0
	}
	return l.Requests()
}
