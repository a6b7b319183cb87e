// Package placement decides at an entry which backend server runs a request.
//
// Load pattern: hundreds of entries each see a few requests a second, so what an entry remembers of a
// server's load is seconds old; reports lag; one server is slow without failing; prompts share
// prefixes that a server holds in its cache; servers leave, and are lost, a third at a time.
//
// Without it: all entries send to the server whose report looked best until the next report (herding),
// a slow server collects requests and sets the p99 of all, every prompt is computed anew, and retries
// after a loss multiply the load on what is left.
//
// Each entry uses a deterministic subset of a pool (rendezvous hashing, own availability zone first).
// For a request it probes the server believed to hold the prefix, the prefix's home by rendezvous hashing
// and a few random ones, and sends to the one where the request starts soonest; the idea to estimate the
// start rather than to compare queue lengths is that of the worker objective of Dask's distributed
// scheduler. Two random choices already take the exponential tail off the longest queue (Mitzenmacher
// 2001); a prefix in the cache counts as the time that it saves. That the samples of a group meet where their
// prompt is cached is the co-location of sibling tasks of the same document.
//
// Grounds for the figures. Three random probes and one or two by prefix: frames of some hundred bytes over
// half a millisecond; the third takes a fifth to a third off the p99 of the measured scenarios, a fourth little. A server is spared when its typical time is three times the median of its peers:
// the average over the last ten requests of one server varies by half with mixed costs, so twice sets off
// falsely. A spared server is tried after 5 s and then after twice the time before, up to 80 s: tried each
// 5 s by four entries it set the p99 of a pool of ten, at 5 s in place of 0.3 s. A belief about a prefix counts
// for 60 s: events come late and with gaps, and caches turn over within minutes. A report counts for 5 s.
package placement
