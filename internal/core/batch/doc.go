// Package batch decides how an entry runs batch jobs: which item runs next, what happens after each attempt, and
// when results are written to the store. An entry is a process that accepts requests and forwards them to backend
// servers.
//
// A trainer submits some hundred items at once and waits for nine tenths of their groups. Output lengths are
// heavy-tailed, and the trainer's estimate is right only at the median. Servers crash in the middle of a stream, are
// slow, or change their weights. The store that keeps results counts each write and has outages.
//
// The package guards against three problems. An item with ten times the usual length that starts last would determine
// the duration of its whole step. A crash would repeat work whose output was already received. One write per item
// would make some hundred writes per step, while a single write at the end would lose the whole step with its
// process.
//
// An item with a reward call has two stages: its text is generated, then scored. Only a scored text is a result.
//
// Results are kept in the store as a log of numbered pages, each created under the next number. If two processes run
// the same job by mistake, only one of them succeeds in creating each page; the other applies the page that it finds
// and drops its own results for the items in that page. A published position therefore never changes, and no lease is
// needed. Results are returned to a trainer only after their page is written.
package batch
