// Package rollout decides which sample of which trainer job is generated next, and which running
// sample gets a second copy.
//
// Load pattern: several trainer jobs share the engines of a model. Each step brings groups of samples
// that are worth something only as whole groups and a whole step; a few samples fall behind because
// their engine is slow, busy or gone; new weights arrive every few minutes and age what is unfinished.
//
// Without it: first come first served lets one job's large step block the others' for minutes, all
// groups end at the same late moment, and one slow engine decides the length of every step.
//
// Order: jobs share by weight (start-time fair queueing on the expected tokens). Within a job steps go
// first come first served, coarsely: a step is started as a whole before the next one, but within it
// groups already begun are ended first, those with the fewest samples left before others, and the
// sample expected to be longest first.
//
// A planner orders what its caller knows of: at an entry that is one job, since 18 jobs are spread over
// hundreds of entries. Between jobs of different entries the agents' queues decide, by organisation
// (core/queue). A job near its staleness bound doesn't go ahead there: measured, its trainer gained what
// another one of its organisation lost, and no fewer samples were thrown away (docs/DECISIONS.md).
//
// The order by steps and groups is the plain one; against starting all groups at once it made no
// difference beyond the noise (docs/DECISIONS.md). What shortens steps are the copies.
//
// Grounds for the figures: a sample counts as a straggler when its copy would be done in half the time
// that it still needs itself. Below a factor of two the spread of normal engines sets off copies
// that win nothing. Copies may add 5 % to the work of a job, the bound that the users set; a copy
// starts from the tokens that are known, so it is charged for the rest only. A stalled sample's copy is free:
// its first generation makes nothing. A sample is judged after the usual
// time of a whole one: earlier, samples whose prompt is still computed looked stalled.
package rollout
