// Package backend chooses the backend server that runs a request, for pools whose servers an entry calls directly
// and not through agents. An entry is a process that accepts requests and forwards them to backend servers.
//
// A few entries share a dozen servers and see a few requests a second each. Engines, the servers that run models,
// run a dozen requests at once and slow each other down. One server in ten is slow or has failed without notice. A
// server's registration tells which weight versions it holds, with a lag.
//
// The choice guards against four faults: requests that herd onto the server with the lowest reported load, a slow
// engine that keeps the longest items of a step, an engine with old weights that is asked for samples which may not
// be used, and refusals by servers without a free slot.
//
// The tracker of core/placement decides which servers are slow or failing, as for servers behind agents. This package
// adds what an entry knows without asking: the requests it runs there itself, the load in the last answer, the
// registered state of the server and the weight versions that it holds.
package backend
