package process

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// answerOptions returns the options by which the clients of a process share the memory for answers, and by which the answers that are too
// large or malformed are logged and counted.
func answerOptions(registry prometheus.Registerer, log zerolog.Logger) []exchange.Option {
	memory := exchange.NewMemory(exchange.DefaultMemory)
	tooLarge := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oleandershelf_answers_too_large_total",
		Help: "Answers of servers and of the store that were ended because they are too large, by the bound that they exceeded.",
	}, []string{"bound"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleandershelf_answer_memory_bytes",
		Help: "Memory that answers hold.",
	}, func() float64 { return float64(memory.Held()) })
	malformed := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "oleandershelf_answers_malformed_total",
		Help: "Answers of servers and of the platform that the protocol doesn't allow.",
	})
	registry.MustRegister(tooLarge, malformed, held)
	return []exchange.Option{
		exchange.WithMemory(memory),
		exchange.WithTooLargeObserver(func(answer *exchange.AnswerTooLargeError) {
			tooLarge.WithLabelValues(string(answer.Bound)).Inc()
			log.Warn().Str("server", answer.Server).Str("bound", string(answer.Bound)).Int("bytes", answer.Read).Int("limit", answer.Limit).
				Msg("answer is too large")
		}),
		exchange.WithMalformedObserver(func(answer *exchange.MalformedError) {
			malformed.Inc()
			log.Warn().Str("server", answer.Server).Str("fault", answer.Fault).Msg("answer is malformed")
		}),
	}
}
