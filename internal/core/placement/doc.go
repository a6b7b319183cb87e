// Package placement chooses the backend server that runs a request. It runs in each entry, the process that
// accepts the requests of callers.
//
// Several properties of the system make the choice difficult. There are hundreds of entries, and each sees only a
// few requests a second, so its knowledge of a server's load is seconds old. Load reports are delayed. A server
// may be slow without failing. Prompts share prefixes that a server may hold in its cache. Up to a third of the
// servers may leave or fail at once.
//
// A simpler policy, such as sending to the server with the best load report, fails in four ways: all entries send
// to the same server until the next report (herding), a slow server collects requests and determines the p99 of
// the entire pool, every prompt is computed without the cache, and retries after an outage multiply the load on
// the remaining servers.
//
// Each entry therefore uses a deterministic subset of a pool (rendezvous hashing, servers of its own availability
// zone first). For each request it probes the server that last held the prompt's prefix, the server that
// rendezvous hashing assigns to the prefix, and a few random ones. It sends the request to the server where it is
// estimated to start soonest; a cached prefix counts as the time that it saves. Estimating the start time instead
// of comparing queue lengths follows the worker objective of Dask's distributed scheduler. Placing the samples of
// one group where their prompt is cached corresponds to Dask's co-location of sibling tasks. Two random choices
// already remove the exponential tail of the longest queue (Mitzenmacher 2001).
//
// Reasons for the parameters:
//
//   - Probes: three random ones, and one or two by prefix. A probe is a frame of about a hundred bytes and takes
//     half a millisecond. In the measured scenarios the third random probe reduces the p99 by a fifth to a third; a
//     fourth has little effect.
//   - Ejection: a server is ejected, that is, gets no requests except trials while there are others, when its typical
//     request duration is three times the median of its peers or too many of its requests fail. With mixed costs, the
//     average over a server's last ten requests varies by half, so a threshold of twice the median causes false
//     ejections.
//   - Trials: an ejected server gets a trial request after 5 s, and the interval then doubles up to 80 s. With trials
//     every 5 s from four entries, one slow server determined the p99 of a pool of ten: 5 s instead of 0.3 s.
//   - Prefix locations expire after 60 s: cache events are delayed or lost, and the content of a cache is
//     replaced within minutes.
//   - Load reports expire after 5 s.
package placement
