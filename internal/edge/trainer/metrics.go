package trainer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

const (
	labelJob   = "job"
	labelState = "state"
)

// metrics holds the Prometheus metrics of all jobs. The control goroutines and the request handlers update them.
type metrics struct {
	samples      *prometheus.GaugeVec
	discarded    *prometheus.GaugeVec
	waits        *prometheus.HistogramVec
	batches      *prometheus.CounterVec
	generateErrs *prometheus.CounterVec
	scoreErrs    *prometheus.CounterVec
	uncopied     *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{labelJob})
	}
	m := &metrics{
		samples: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleandershelf_trainer_samples", Help: "Samples of the current step by state.",
		}, []string{labelJob, labelState}),
		discarded: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleandershelf_trainer_samples_discarded",
			Help: "Samples thrown away as stale by this coordinator in its present term.",
		}, []string{labelJob}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oleandershelf_trainer_batch_wait_seconds",
			Help:    "Time that a batch request waited for its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 10),
		}, []string{labelJob}),
		batches:      counter("oleandershelf_trainer_batches_total", "Batches answered, repeats included."),
		generateErrs: counter("oleandershelf_trainer_generation_failures_total", "Generations that ended early."),
		scoreErrs:    counter("oleandershelf_trainer_scoring_failures_total", "Scores that could not be had."),
		uncopied:     counter("oleandershelf_trainer_samples_uncopied_total", "Samples held by one host only."),
	}
	if registerer != nil {
		registerer.MustRegister(m.samples, m.discarded, m.waits, m.batches, m.generateErrs, m.scoreErrs, m.uncopied)
	}
	return m
}

func (m *metrics) observe(status *runnerStatus) {
	if !status.Active {
		return
	}
	for _, state := range delivery.States() {
		m.samples.WithLabelValues(status.Job, state.String()).Set(float64(status.Samples[state.String()]))
	}
	m.discarded.WithLabelValues(status.Job).Set(float64(status.Discarded))
}

func (m *metrics) observeWait(job string, took time.Duration) {
	m.waits.WithLabelValues(job).Observe(took.Seconds())
}

func (m *metrics) batchAnswered(job string)    { m.batches.WithLabelValues(job).Inc() }
func (m *metrics) generationFailed(job string) { m.generateErrs.WithLabelValues(job).Inc() }
func (m *metrics) notCopied(job string)        { m.uncopied.WithLabelValues(job).Inc() }
func (m *metrics) scoringFailed(job string)    { m.scoreErrs.WithLabelValues(job).Inc() }
