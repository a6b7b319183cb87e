// Package rollout decides which sample of which trainer job is generated next, and which running
// samples get a second copy.
//
// Load pattern: several trainer jobs share the engines of a model. Each step adds groups of samples, which are of
// use only once their group and their step are complete. A few samples fall behind because their engine is
// slow, busy or lost. New weights arrive every few minutes, and unfinished samples become stale.
//
// Without it: if samples were generated first come first served, one job's large step would block the other
// jobs for minutes, all groups would be complete only at the end of the step, and one slow engine would determine
// the length of every step.
//
// Order: jobs share the engines by weight, with start-time fair queueing on the expected number of tokens. The
// steps of a job run first come first served: all samples of a step are started before those of the next one.
// Within a step, partly started groups come before others, the one with the fewest unfinished samples first.
// Within a group, the sample with the most expected tokens is started first.
//
// A planner orders only the jobs that its caller adds. On a gateway that is one job, since 18 jobs are spread over
// hundreds of gateways. Between jobs of different gateways the queues of the agents decide, by organisation
// (core/queue). A job near its staleness bound gets no priority there: in a measurement its trainer gained what
// another trainer of its organisation lost, and no fewer samples were discarded (docs/DECISIONS.md).
//
// The order of steps and groups is the simplest one. Compared with starting all groups at once, it made no
// difference beyond the noise (docs/DECISIONS.md). It is the copies that shorten steps.
//
// Reasons for the constants: a sample counts as a straggler when a copy would finish in half the time that the
// sample itself still needs. Below a factor of two, the normal variation between engines triggers copies that
// gain nothing. Copies may add 5 % to the work of a job, the limit that the users set. A copy resumes from the
// known tokens, so that only the remaining ones are charged. The copy of a stalled sample is free, since its first
// generation produces no tokens. A sample isn't examined before the usual time of a complete sample has passed:
// earlier, samples whose prompt was still being processed looked stalled.
package rollout
