// Package length learns how many events the outputs of batch items have, and from that how many are still to come.
//
// Trainers estimate an item's output in tokens, and the estimate is right only at the median. Streams are counted in events. The package
// learns the ratio of the two for each model, and for estimates of similar size separately: an estimate that is much longer than most is
// more often too long than one of the usual size. What an item has already produced excludes all shorter lengths, so that an item that
// outlives its estimate is soon known to be a long one.
package length
