package batchjob

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// outcomeLabel is the label of metrics that are counted by how something ended.
const outcomeLabel = "outcome"

// readBasis says on what a read of results was answered.
type readBasis string

// Values of readBasis.
const (
	// basisListed: results are listed at the position; they never change.
	basisListed readBasis = "listed"
	// basisStore: nothing is listed at the position, since the store has no further page or all items are listed.
	basisStore readBasis = "store"
	// basisUnsure: the store could not be queried, and the read was refused.
	basisUnsure readBasis = "unsure"
)

// rewardOutcome is how a reward call ended.
type rewardOutcome string

// Values of rewardOutcome.
const (
	rewardScored rewardOutcome = "scored"
	// rewardFailed: the server answered with a failure.
	rewardFailed rewardOutcome = "failed"
	// rewardNoAnswer: no server ran the call, or no complete answer was received.
	rewardNoAnswer rewardOutcome = "noAnswer"
	// rewardNoRoute: no route serves the call.
	rewardNoRoute rewardOutcome = "noRoute"
)

// moveReason is why an item moved.
type moveReason string

// Values of moveReason.
const (
	// moveFaster: in a pool whose servers differ in speed, the item is expected to end earlier at the other server.
	moveFaster moveReason = "faster"
	// moveSlow: the server had become slower than the others.
	moveSlow moveReason = "slow"
)

// moveOutcome is how the first run after a move went.
type moveOutcome string

// Values of moveOutcome.
const (
	// moveResumed: the server sent events or the end of the output.
	moveResumed moveOutcome = "resumed"
	// moveRefused: the server didn't run the item.
	moveRefused moveOutcome = "refused"
	// moveInterrupted: the run ended without an event.
	moveInterrupted moveOutcome = "interrupted"
)

// earlyOutcome is what became of a job that began, or was to begin, without the store.
type earlyOutcome string

// Values of earlyOutcome.
const (
	// earlyAccepted: this entry created the job's object.
	earlyAccepted earlyOutcome = "accepted"
	// earlyFound: the store held the job already, or another entry created it.
	earlyFound earlyOutcome = "found"
	// earlyExpired: the time of the job was up.
	earlyExpired earlyOutcome = "expired"
	// earlyEnded: the trainer ended the job.
	earlyEnded earlyOutcome = "ended"
	// earlyRefused: the limits don't allow the job to begin.
	earlyRefused earlyOutcome = "refused"
	// earlyDropped: the store can't or doesn't hold this job under its id, its route is gone, or this process leaves.
	earlyDropped earlyOutcome = "dropped"
)

// Metrics counts the runs of items, the pages written, the reads of results, the reward calls, the moves of items and the jobs that
// began without the store.
type Metrics struct {
	reads      *prometheus.CounterVec
	runs       *prometheus.CounterVec
	runSeconds prometheus.Histogram
	pages      *prometheus.CounterVec
	// rewards counts reward calls, rewardSeconds observes their time.
	rewards       *prometheus.CounterVec
	rewardSeconds prometheus.Histogram
	// moves counts moves of items, lengthRatio observes how wrong the estimates of their lengths are.
	moves       *prometheus.CounterVec
	lengthRatio prometheus.Histogram
	// serverEnds counts the servers that ended under items and reward calls, once for each of these.
	serverEnds prometheus.Counter
	// earlyTotal counts settled unaccepted jobs, earlyNow those that run, earlyEvents the events received for them.
	earlyTotal  *prometheus.CounterVec
	earlyNow    prometheus.Gauge
	earlyEvents prometheus.Counter
	idle        *idleMetrics
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_reads_total",
			Help: "Reads of results by the ground on which they were answered.",
		}, []string{"basis"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_item_runs_total",
			Help: "Runs of batch items at backend servers by outcome.",
		}, []string{outcomeLabel}),
		serverEnds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleandershelf_batch_server_ends_total",
			Help: "Items and reward calls under which a backend server ended, once for each server.",
		}),
		runSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "oleandershelf_batch_item_run_seconds",
			Help:    "Time of the runs of batch items.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 9),
		}),
		pages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleandershelf_batch_pages_total",
			Help: "Tries to write a page of results, and whether the store answered that it was written.",
		}, []string{outcomeLabel}),
	}
	m.rewards = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_batch_reward_calls_total",
		Help: "Reward calls of batch items by outcome.",
	}, []string{outcomeLabel})
	m.rewardSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "oleandershelf_batch_reward_call_seconds",
		Help:    "Time of reward calls over all their attempts.",
		Buckets: prometheus.ExponentialBuckets(0.02, 2, 9),
	})
	m.moves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_batch_moves_total",
		Help: "Moves of running items to other servers by reason, and by how the first run after the move went.",
	}, []string{"reason", outcomeLabel})
	m.lengthRatio = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "oleandershelf_batch_item_length_ratio",
		Help:    "Events of completed items divided by the tokens that their trainers expected.",
		Buckets: prometheus.ExponentialBuckets(0.0625, 2, 10),
	})
	registry.MustRegister(m.reads, m.runs, m.runSeconds, m.pages, m.rewards, m.rewardSeconds, m.moves, m.lengthRatio, m.serverEnds)
	m.registerEarly(registry)
	m.idle = newIdleMetrics(registry)
	return m
}

// registerEarly adds the metrics of jobs that begin without the store.
func (m *Metrics) registerEarly(registry prometheus.Registerer) {
	m.earlyTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_batch_early_jobs_total",
		Help: "Batch jobs that began, or were to begin, without the store, by outcome.",
	}, []string{outcomeLabel})
	m.earlyNow = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "oleandershelf_batch_early_jobs",
		Help: "Batch jobs that run although the store isn't known to hold them.",
	})
	m.earlyEvents = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "oleandershelf_batch_early_events_total",
		Help: "Events received for batch jobs before they were accepted or given up.",
	})
	registry.MustRegister(m.earlyTotal, m.earlyNow, m.earlyEvents)
}

func (m *Metrics) observeRun(result outcome, took time.Duration) {
	m.runs.WithLabelValues(result.String()).Inc()
	m.runSeconds.Observe(took.Seconds())
}

func (m *Metrics) countServerEnd() { m.serverEnds.Inc() }

func (m *Metrics) countMove(reason moveReason, result moveOutcome) {
	m.moves.WithLabelValues(string(reason), string(result)).Inc()
}

func (m *Metrics) observeLength(expectedTokens, events int) {
	if expectedTokens > 0 {
		m.lengthRatio.Observe(float64(events) / float64(expectedTokens))
	}
}

func (m *Metrics) countReward(result rewardOutcome) { m.rewards.WithLabelValues(string(result)).Inc() }

func (m *Metrics) observeRewardTime(took time.Duration) { m.rewardSeconds.Observe(took.Seconds()) }

func (m *Metrics) countRead(basis readBasis) { m.reads.WithLabelValues(string(basis)).Inc() }

func (m *Metrics) countPageWrite(ok bool) {
	outcome := "written"
	if !ok {
		outcome = "notWritten"
	}
	m.pages.WithLabelValues(outcome).Inc()
}

func (m *Metrics) countEarly(outcome earlyOutcome, events int) {
	m.earlyTotal.WithLabelValues(string(outcome)).Inc()
	m.earlyEvents.Add(float64(events))
}

func (m *Metrics) setEarly(count int) { m.earlyNow.Set(float64(count)) }
