// Package batch decides about batch jobs: which item runs next, what becomes of an attempt, and when results are
// written to the store.
//
// Load pattern: a trainer hands in some hundred items at once and waits for nine of ten groups of them. Lengths are
// heavy-tailed, with an estimate that is right at the median; servers crash in the middle of a stream, are slow, or
// change their weights; the store that keeps results counts each write and has outages.
//
// Without it: an item with ten times the usual length that starts last sets the time of its whole step; a crash
// repeats work that was received; a write for each item makes some hundred writes for a step, and one at the end
// loses a whole step with its process.
//
// An item with a reward call goes through two stages: its text is generated, then scored. Only a scored text is a result.
//
// Results are kept as a log of pages in the store, each created under the next number. Of two processes that run the
// same job by mistake one loses each create, takes over the page it finds and drops what that page lists, so that a
// position never changes hands and no lease is needed. Nothing is shown to a trainer before its page is written.
package batch
