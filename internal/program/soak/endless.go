package soak

import (
	"math/rand/v2"
	"slices"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Of every n requests to a service, streams of an engine, or reads of an engine's state, an undisturbed server answers one without end.
const (
	serviceEndlessInterval = 40
	engineEndlessInterval  = 30
	stateEndlessInterval   = 4
)

// endlessKinds chooses the kinds of a server's answers without end. The seed of the run determines them, apart from the schedule.
type endlessKinds struct{ seed, server uint64 }

// of returns one of the kinds for the n-th request to the server.
func (k endlessKinds) of(n int, kinds []platformtest.Behaviour) platformtest.Behaviour {
	random := rand.New(rand.NewPCG(k.seed, k.server<<32|uint64(n)))
	return kinds[random.IntN(len(kinds))]
}

var (
	// endlessCalls are the kinds for calls and reads of the state. endlessItems are those for items, without numbered events, which can't be
	// told from those of the item.
	endlessCalls = slices.Concat(platformtest.EndlessHeads, platformtest.EndlessBodies)
	endlessItems = slices.DeleteFunc(slices.Concat(endlessCalls, platformtest.EndlessStreams), platformtest.Behaviour.NumbersEvents)
)

// endlessKindsOf returns the kinds of the server's answers without end.
func (env *environment) endlessKindsOf(server *platformtest.Server) endlessKinds {
	return endlessKinds{seed: env.seed, server: uint64(slices.Index(env.allServers(), server))}
}

// takeEndlessItem reports whether the item may get an answer without end. An item that gets two of them may be given up.
func (env *environment) takeEndlessItem(item string) bool {
	_, taken := env.endlessItems.LoadOrStore(item, true)
	return !taken
}

// answerReadsEndlessly makes the engines answer some reads of their state without end.
func (env *environment) answerReadsEndlessly() {
	for _, engine := range env.engines {
		kinds := env.endlessKindsOf(engine)
		engine.SetStateBehaviour(func(n int) platformtest.Behaviour {
			if n%stateEndlessInterval == 0 {
				return kinds.of(n, endlessCalls)
			}
			return platformtest.Answer
		})
	}
}
