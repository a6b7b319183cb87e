// Package weights decides which backend server loads which weight version, and when.
//
// Several trainers share the servers. Each trainer announces a new version of its model every few seconds, and the next
// step accepts that version and the one before. A load takes about a second, in which the server starts no request, and
// longer while too many servers load. Loads beyond each trainer's share of the servers cost money.
//
// If all servers loaded every version of every model, most of the time no server would serve requests, and every load
// would be slow.
//
// Each model is therefore assigned a share of the servers in proportion to the token rate that its jobs require. Of
// these servers, those whose version the next step doesn't accept load first, even while they run requests. The others
// serve the next step with the version that they have, and load the new one when they are idle. In addition, half of a
// model's servers load each version within its step even if they are busy; otherwise all servers could be two versions
// behind at the next version, and none could serve its step at once. A server that is only one version behind
// doesn't load while half of the model's servers load or are further behind.
package weights

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// Parameters of the plan.
const (
	// loadingDivisor sets the share of a pool's servers, a fifth, that may load at the same time. When more of them loaded,
	// each load took longer in proportion to the number of the others.
	loadingDivisor = 5
	// minLoading is the number of servers that may load at the same time even in a small pool, so that it changes versions
	// within a step.
	minLoading = 2
	// orderExpiry is how long an accepted order counts as being carried out without any sign of it. It is several times
	// the usual time of a load, since an order whose answer was lost may still be carried out with such a delay.
	orderExpiry = 4 * time.Second
	// firstVersion is the version of a model before its trainer has announced one.
	firstVersion = 1
	// busyLoadDelay is the time after the announcement of a version in which servers with more than half of their slots
	// taken aren't ordered to load it. The step for the version begins at about the time of the announcement, and its first
	// items are finished after the delay.
	busyLoadDelay = 1500 * time.Millisecond
)

// Order instructs a server to load a version of a model.
type Order struct {
	Server  backend.Server
	Model   string
	Version int
}

// Engine is a registered server of a model pool with its current load.
type Engine struct {
	backend.Server
	// Running is the number of requests known to run on the server.
	Running int
	// Hold is set while the server must not get orders.
	Hold bool
}

// announcement is a model's newest version with the time at which the planner first saw it.
type announcement struct {
	version int
	seenAt  time.Time
}

// pendingOrder is an order that was given and has not taken effect yet.
type pendingOrder struct {
	order Order
	at    time.Time
}

// Planner assigns the servers of one pool to models and keeps track of the orders given. It is not safe for concurrent use.
type Planner struct {
	// models holds the model that each server is assigned to.
	models  map[backend.Key]string
	pending map[backend.Key]pendingOrder
	// announced holds the newest version of each model.
	announced map[string]announcement
}

// NewPlanner returns a planner without assignments or orders.
func NewPlanner() *Planner {
	return &Planner{models: map[backend.Key]string{}, pending: map[backend.Key]pendingOrder{}, announced: map[string]announcement{}}
}

// Next returns the orders to give now. engines are those of one pool; newest holds the newest version of each model, and
// rates the token rate that it requires. Models without a rate get the mean of the others.
func (p *Planner) Next(now time.Time, engines []Engine, newest map[string]int, rates map[string]float64) []Order {
	engines = slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Draining || len(e.Models) == 0 })
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.recordVersions(now, newest)
	p.prune(now, engines)
	p.assign(engines, newest, rates)
	allowed := max(minLoading, len(engines)/loadingDivisor) - len(p.pending)
	var orders []Order
	for _, engine := range p.dueEngines(now, engines, newest) {
		if len(orders) >= allowed {
			break
		}
		if engine.Hold {
			continue
		}
		model := p.models[engine.Key()]
		orders = append(orders, Order{Server: engine.Server, Model: model, Version: newest[model]})
	}
	return orders
}

// prune removes servers that are no longer in the list, and orders that took effect or have expired.
func (p *Planner) prune(now time.Time, engines []Engine) {
	live := map[backend.Key]Engine{}
	for _, engine := range engines {
		live[engine.Key()] = engine
	}
	maps.DeleteFunc(p.models, func(key backend.Key, _ string) bool { _, ok := live[key]; return !ok })
	maps.DeleteFunc(p.pending, func(key backend.Key, pending pendingOrder) bool {
		engine, ok := live[key]
		return !ok || engine.Models[pending.order.Model] >= pending.order.Version || now.Sub(pending.at) > orderExpiry
	})
}

// assign assigns each new server to a model: the one whose versions it has loaded so far, otherwise one that is below its
// share. It then moves at most one server between models.
func (p *Planner) assign(engines []Engine, newest map[string]int, rates map[string]float64) {
	if len(engines) == 0 {
		return
	}
	shares := newShares(slices.Sorted(maps.Keys(engines[0].Models)), rates)
	for _, model := range p.models {
		shares.counts[model]++
	}
	for _, engine := range engines {
		if _, ok := p.models[engine.Key()]; ok {
			continue
		}
		model := modelFor(engine, newest, shares, len(engines))
		p.models[engine.Key()] = model
		shares.counts[model]++
	}
	p.balance(engines, shares)
}

// modelFor returns the model for a server without an assignment.
func modelFor(engine Engine, newest map[string]int, shares shares, servers int) string {
	if model, ok := previousModel(engine, newest); ok {
		return model
	}
	models := slices.Sorted(maps.Keys(engine.Models))
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(shares.rank(a, newest[a]-engine.Models[a], servers), shares.rank(b, newest[b]-engine.Models[b], servers)),
			cmp.Compare(shares.ratePerServer(b, 1), shares.ratePerServer(a, 1)),
		)
	})
}

// previousModel infers from the loaded versions which model an earlier leader assigned to the server: the one that is
// the fewest versions behind. It returns false if several models are equally far behind or none has been loaded, as on
// a new server, which has the first or the newest version of all models.
func previousModel(engine Engine, newest map[string]int) (string, bool) {
	fewest, model, unique := 0, "", false
	for name, version := range engine.Models {
		if version <= firstVersion {
			continue
		}
		behind := newest[name] - version
		switch {
		case model == "" || behind < fewest:
			fewest, model, unique = behind, name, true
		case behind == fewest:
			unique = false
		}
	}
	return model, unique
}

// balance moves at most one server, from a model with a low token rate per server to the one with the highest; see shares.nextMove.
func (p *Planner) balance(engines []Engine, shares shares) {
	from, to, ok := shares.nextMove()
	if !ok {
		return
	}
	for _, engine := range engines {
		if _, has := engine.Models[to]; has && p.models[engine.Key()] == from {
			p.models[engine.Key()] = to
			return
		}
	}
}

// dueEngines returns the servers that should load, most urgent first: those that are the most versions behind, then
// those that run the fewest requests.
func (p *Planner) dueEngines(now time.Time, engines []Engine, newest map[string]int) []Engine {
	byModel := map[string][]Engine{}
	for _, engine := range engines {
		model := p.models[engine.Key()]
		byModel[model] = append(byModel[model], engine)
	}
	var due []Engine
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		due = append(due, p.dueEnginesOf(now, model, byModel[model], newest[model])...)
	}
	slices.SortStableFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(p.versionsBehind(b, newest), p.versionsBehind(a, newest)), cmp.Compare(a.Running, b.Running))
	})
	return due
}

// dueEnginesOf returns the servers of one model that should load the version.
func (p *Planner) dueEnginesOf(now time.Time, model string, engines []Engine, version int) []Engine {
	loading, current := 0, 0
	var outdated, previous []Engine
	for _, engine := range engines {
		_, ordered := p.pending[engine.Key()]
		switch behind := version - engine.Models[model]; {
		case ordered:
			loading++
		case behind <= 0:
			current++
		case behind > 1:
			outdated = append(outdated, engine)
		default:
			previous = append(previous, engine)
		}
	}
	slices.SortStableFunc(previous, func(a, b Engine) int { return cmp.Compare(a.Running, b.Running) })
	half := (len(engines) + 1) / 2
	// missing is how many more servers must load until half of them have the version, and allowed how many more may load now.
	missing := half - current - loading - len(outdated)
	allowed := half - loading - len(outdated)
	busyMayLoad := now.Sub(p.announced[model].seenAt) >= busyLoadDelay
	due := outdated
	for _, engine := range previous {
		if allowed > 0 && (engine.Running == 0 || missing > 0 && (busyMayLoad || 2*engine.Running <= engine.Slots)) {
			due = append(due, engine)
			missing--
			allowed--
		}
	}
	return due
}

// recordVersions records when each model's newest version was first seen.
func (p *Planner) recordVersions(now time.Time, newest map[string]int) {
	for model, version := range newest {
		if p.announced[model].version != version {
			p.announced[model] = announcement{version: version, seenAt: now}
		}
	}
}

// versionsBehind returns how many versions behind the newest one the server is, for the model that it is assigned to.
func (p *Planner) versionsBehind(engine Engine, newest map[string]int) int {
	model := p.models[engine.Key()]
	return newest[model] - engine.Models[model]
}

// RecordOrder records an order that the server accepted or, if its answer was lost, may have accepted.
func (p *Planner) RecordOrder(now time.Time, order Order) {
	p.pending[order.Server.Key()] = pendingOrder{order: order, at: now}
}

// RecordRefusal records that an order was certainly not accepted.
func (p *Planner) RecordRefusal(order Order) { delete(p.pending, order.Server.Key()) }

// ServerCounts returns the number of servers that are assigned to each model.
func (p *Planner) ServerCounts() map[string]int {
	counts := map[string]int{}
	for _, model := range p.models {
		counts[model]++
	}
	return counts
}
