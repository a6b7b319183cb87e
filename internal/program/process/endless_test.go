package process

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// Guards against servers that answer without end and cost a gateway its memory, its processor or its other requests. The figures of another
// program are printed by
//
//	go test ./internal/program/process -run TestEndlessAnswers -v -count=1 -args -program PATH
func TestEndlessAnswers(t *testing.T) {
	calls := slices.Concat(platformtest.EndlessHeads, platformtest.EndlessBodies)
	bodies := []platformtest.Behaviour{platformtest.EndlessBody, platformtest.EndlessChunks, platformtest.EndlessOneByteChunks}
	for _, test := range []struct {
		name       string
		behaviours []platformtest.Behaviour
		// engines is the number of engines that can answer without end.
		engines int
		run     func(trial *endlessTrial, behaviour platformtest.Behaviour)
	}{
		{name: "calls", behaviours: calls, engines: faultyEngineCount, run: (*endlessTrial).runCalls},
		{name: "items", behaviours: slices.Concat(calls, platformtest.EndlessStreams), engines: faultyEngineCount,
			run: (*endlessTrial).runItems},
		{name: "rewards", behaviours: bodies, engines: faultyEngineCount, run: (*endlessTrial).runRewards},
		{name: "reports", behaviours: slices.Concat(platformtest.EndlessHeads, bodies), engines: faultyOrderedCount,
			run: func(trial *endlessTrial, behaviour platformtest.Behaviour) {
				trial.runOrders((*platformtest.Server).SetStateBehaviour, behaviour)
			}},
		{name: "orders", behaviours: bodies, engines: faultyOrderedCount, run: func(trial *endlessTrial, behaviour platformtest.Behaviour) {
			trial.runOrders((*platformtest.Server).SetOrderBehaviour, behaviour)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, behaviour := range test.behaviours {
				t.Run(behaviour.String(), func(t *testing.T) { test.run(newEndlessTrial(t, test.engines), behaviour) })
			}
		})
	}
}

// runCalls lets calls get answers without end while a batch job runs.
func (trial *endlessTrial) runCalls(behaviour platformtest.Behaviour) {
	t := trial.t
	for _, server := range trial.faultyServices {
		server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return behaviour })
	}
	trial.submit(trial.entry, "j1", submission(endlessGroups, endlessGroups, 1))
	trial.observe(func() {
		var calls conc.WaitGroup
		for i := range faultyCount {
			calls.Go(func() {
				id := fmt.Sprintf("call-%d", i)
				got, err := trial.tryCall(trial.entry, http.MethodPost, "/faulty/x", keyNorth, id, "")
				// A refusal promises that the call has not run, so that it may be sent again, also to a server that is sound by then.
				refused := behaviour == platformtest.EndlessRefusal && (got.status == http.StatusServiceUnavailable || trial.ran(got, id))
				if err != nil || got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout && !refused {
					t.Errorf("a call without a complete answer has the status %d: %v", got.status, err)
				}
			})
		}
		calls.Wait()
	})
	trial.next = trial.untilAnswered()
	trial.checkResults(trial.readAll(trial.entry, "j1", 2*endlessGroups), 2*endlessGroups, endlessEvents)
}

// ran reports whether the result is the whole answer of a formerly faulty server that answered the call, and no other server did.
func (trial *endlessTrial) ran(got callResult, id string) bool {
	var answered []string
	for _, server := range trial.faultyServices {
		for _, request := range server.Requests() {
			if request.ID() == id && request.Behaviour == platformtest.Answer {
				answered = append(answered, server.ID)
			}
		}
	}
	return len(answered) == 1 && got.status == http.StatusOK && got.body == answered[0]+" answers " &&
		platformtest.SignedBy(got.header, answered[0], id)
}

// untilAnswered returns the time until a call to the formerly faulty servers is answered.
func (trial *endlessTrial) untilAnswered() time.Duration {
	began, n := time.Now(), 0
	trial.eventually("a call to the formerly faulty servers is answered", func() bool {
		n++
		id := fmt.Sprintf("next-%d", n)
		got, err := trial.tryCall(trial.entry, http.MethodPost, "/faulty/x", keyNorth, id, "body of "+id)
		if err == nil && got.status == http.StatusOK && !strings.HasSuffix(got.body, " answers body of "+id) {
			trial.t.Errorf("call %s has the answer %q", id, got.body)
		}
		return err == nil && got.status == http.StatusOK
	})
	return time.Since(began)
}

// runItems lets the first attempt of the items get answers without end.
func (trial *endlessTrial) runItems(behaviour platformtest.Behaviour) {
	firstOnly(trial.faultyEngines, behaviour)
	trial.observe(func() { trial.submit(trial.entry, "j1", submission(endlessGroups, endlessGroups, 1)) })
	trial.checkItems(trial.readAll(trial.entry, "j1", 2*endlessGroups), behaviour)
	began := time.Now()
	trial.submit(trial.entry, "j2", strings.ReplaceAll(submission(endlessGroups, endlessGroups, 1), `"item-`, `"next-`))
	trial.checkResults(trial.readAll(trial.entry, "j2", 2*endlessGroups), 2*endlessGroups, endlessEvents)
	trial.next = time.Since(began)
}

// checkItems checks that the items are listed with their complete output. Events that a server numbers as it should can't be told from those
// of the item, so their item may have more of them or be lost.
func (trial *endlessTrial) checkItems(all []platformtest.Result, behaviour platformtest.Behaviour) {
	if !behaviour.NumbersEvents() {
		trial.checkResults(all, 2*endlessGroups, endlessEvents)
		return
	}
	for _, each := range all {
		if each.State == platformtest.Completed && !strings.HasPrefix(each.Text, platformtest.OutputText(each.ID, endlessEvents)) {
			trial.t.Errorf("%s is completed with %.100q", each.ID, each.Text)
		}
	}
}

// runRewards lets the first attempt of the items' reward calls get answers without end.
func (trial *endlessTrial) runRewards(behaviour platformtest.Behaviour) {
	firstOnly(trial.faultyServices, behaviour)
	trial.observe(func() {
		trial.submit(trial.entry, "j1", strings.ReplaceAll(scoredSubmission(endlessGroups), "/safe/", "/score/"))
	})
	all := trial.readAll(trial.entry, "j1", 2*endlessGroups)
	trial.checkResults(all, 2*endlessGroups, endlessEvents)
	trial.checkScores(all)
	trial.next = trial.untilAnswered()
}

// runOrders lets reads of the engines' state, or orders, get answers without end while a batch job runs and a weight version is announced.
func (trial *endlessTrial) runOrders(setBehaviour func(*platformtest.Server, func(int) platformtest.Behaviour), behaviour platformtest.Behaviour) {
	for _, engine := range trial.faultyEngines {
		setBehaviour(engine, func(int) platformtest.Behaviour { return behaviour })
	}
	trial.submit(trial.entry, "j1", submission(endlessGroups, endlessGroups, 1))
	trial.observe(func() { trial.store.PutModelVersion("m", 2) })
	began := time.Now()
	registered := map[*platformtest.Server]bool{}
	trial.eventually("all engines are ordered to load the version", func() bool {
		for _, engine := range trial.engines {
			if !registered[engine] && len(engine.Orders()) > 0 {
				registered[engine] = true
				trial.store.Register(engine, false)
			}
		}
		return len(registered) == len(trial.engines)
	})
	trial.next = time.Since(began)
	trial.checkResults(trial.readAll(trial.entry, "j1", 2*endlessGroups), 2*endlessGroups, endlessEvents)
}
