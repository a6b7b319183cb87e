// Package weights decides which backend server loads which weight version, and when.
//
// Load pattern: several trainers share the engines; each names a new version every few seconds, and its next step accepts
// the version before as well. A load takes about a second in which the server starts nothing, and longer while too many
// servers load; the loads beyond each trainer's share of servers are paid for.
//
// Without it: all servers load each version of each model, most of the time nobody serves, and every load is slow.
//
// Each model has a share of the servers in proportion to the token rate that its jobs require. Of these, those that the next step can't
// use any more load first, whatever they run.
// The others serve the next step as they are. When they are idle they load as well; and half of a model's servers load each version
// within its step, busy or not, so that the next version never finds all of them two behind, and nobody to serve its step at once.
// Half of a model's servers at most load at a time.
package weights

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
)

// Figures of the plan.
const (
	// loadPart is the part of a pool's servers that load at once at most. Loads of more than a fifth of the servers were
	// slower, each by the number of the others.
	loadPart = 5
	// leastLoads lets small pools change within a step.
	leastLoads = 2
	// orderTime is how long an accepted order counts as being carried out without any sign of it: several times the usual
	// time of a load. An order whose answer was lost may be carried out as late.
	orderTime = 4 * time.Second
	// firstVersion is the version of a model whose trainer hasn't named one yet.
	firstVersion = 1
	// settleTime is how long after a version was named a busy server isn't made to load it: the step that the version was named
	// for begins at about that time, and is through its first items by then.
	settleTime = 1500 * time.Millisecond
)

// Order tells a server to load a version of a model.
type Order struct {
	Server  backend.Server
	Model   string
	Version int
}

// Engine is a server with what is known of it beside its registration.
type Engine struct {
	backend.Server
	// Running is how many requests are known to run there.
	Running int
	// Hold is set while the server is not to be ordered anything.
	Hold bool
}

// sighting is when a version was first seen as the newest.
type sighting struct {
	version int
	at      time.Time
}

// pending is an order that was given and has not shown its effect.
type pending struct {
	order Order
	at    time.Time
}

// Planner remembers which server belongs to which model and what was ordered. It is not safe for concurrent use.
type Planner struct {
	models map[backend.Key]string
	orders map[backend.Key]pending
	seen   map[string]sighting
}

// NewPlanner returns a planner that knows nothing.
func NewPlanner() *Planner {
	return &Planner{models: map[backend.Key]string{}, orders: map[backend.Key]pending{}, seen: map[string]sighting{}}
}

// Next returns the orders to give now. Engines are those of one pool; named holds the newest version of each model, and rates
// the token rate that it requires. Models without a rate get the mean of the others.
func (p *Planner) Next(now time.Time, engines []Engine, named map[string]int, rates map[string]float64) []Order {
	engines = slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Draining || len(e.Models) == 0 })
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.see(now, named)
	p.settle(now, engines)
	p.assign(engines, named, rates)
	free := max(leastLoads, len(engines)/loadPart) - len(p.orders)
	var orders []Order
	for _, engine := range p.due(now, engines, named) {
		if len(orders) >= free {
			break
		}
		if engine.Hold {
			continue
		}
		model := p.models[engine.Key()]
		orders = append(orders, Order{Server: engine.Server, Model: model, Version: named[model]})
	}
	return orders
}

// settle forgets servers that are gone, and orders that took effect or never will.
func (p *Planner) settle(now time.Time, engines []Engine) {
	alive := map[backend.Key]Engine{}
	for _, engine := range engines {
		alive[engine.Key()] = engine
	}
	maps.DeleteFunc(p.models, func(key backend.Key, _ string) bool { _, ok := alive[key]; return !ok })
	maps.DeleteFunc(p.orders, func(key backend.Key, given pending) bool {
		engine, ok := alive[key]
		return !ok || engine.Models[given.order.Model] >= given.order.Version || now.Sub(given.at) > orderTime
	})
}

// assign gives each server a model: the one whose versions it has been loading, else one that is below its share.
func (p *Planner) assign(engines []Engine, named map[string]int, rates map[string]float64) {
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
		model := modelFor(engine, named, shares, len(engines))
		p.models[engine.Key()] = model
		shares.counts[model]++
	}
	p.balance(engines, shares)
}

func modelFor(engine Engine, named map[string]int, shares shares, servers int) string {
	if model, ok := formerModel(engine, named); ok {
		return model
	}
	models := slices.Sorted(maps.Keys(engine.Models))
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(shares.rank(a, named[a]-engine.Models[a], servers), shares.rank(b, named[b]-engine.Models[b], servers)),
			cmp.Compare(shares.ratePerServer(b, 1), shares.ratePerServer(a, 1)),
		)
	})
}

// formerModel infers from the loaded versions which model an earlier holder of the duties assigned to the server; it returns false if no
// single model stands out, as on a new server, which has the first or the newest version of all models.
func formerModel(engine Engine, named map[string]int) (string, bool) {
	least, model, unique := 0, "", false
	for name, version := range engine.Models {
		if version <= firstVersion {
			continue
		}
		behind := named[name] - version
		switch {
		case model == "" || behind < least:
			least, model, unique = behind, name, true
		case behind == least:
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

// due returns the servers that are to load, most urgent first: those whose version the next step can't use, then idle ones.
func (p *Planner) due(now time.Time, engines []Engine, named map[string]int) []Engine {
	byModel := map[string][]Engine{}
	for _, engine := range engines {
		model := p.models[engine.Key()]
		byModel[model] = append(byModel[model], engine)
	}
	var due []Engine
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		due = append(due, p.dueOf(now, model, byModel[model], named[model])...)
	}
	slices.SortStableFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(p.behind(b, named), p.behind(a, named)), cmp.Compare(a.Running, b.Running))
	})
	return due
}

func (p *Planner) dueOf(now time.Time, model string, engines []Engine, version int) []Engine {
	loading, newest := 0, 0
	var old, before []Engine
	for _, engine := range engines {
		_, ordered := p.orders[engine.Key()]
		switch behind := version - engine.Models[model]; {
		case ordered:
			loading++
		case behind <= 0:
			newest++
		case behind > 1:
			old = append(old, engine)
		default:
			before = append(before, engine)
		}
	}
	slices.SortStableFunc(before, func(a, b Engine) int { return cmp.Compare(a.Running, b.Running) })
	half := (len(engines) + 1) / 2
	missing := half - newest - loading - len(old)
	room := half - loading - len(old)
	settled := now.Sub(p.seen[model].at) >= settleTime
	due := old
	for _, engine := range before {
		if room > 0 && (engine.Running == 0 || missing > 0 && (settled || 2*engine.Running <= engine.Slots)) {
			due = append(due, engine)
			missing--
			room--
		}
	}
	return due
}

// see remembers since when each model has its newest version.
func (p *Planner) see(now time.Time, named map[string]int) {
	for model, version := range named {
		if p.seen[model].version != version {
			p.seen[model] = sighting{version: version, at: now}
		}
	}
}

func (p *Planner) behind(engine Engine, named map[string]int) int {
	model := p.models[engine.Key()]
	return named[model] - engine.Models[model]
}

// Ordered takes in that an order was given or that its answer was lost.
func (p *Planner) Ordered(now time.Time, order Order) {
	p.orders[order.Server.Key()] = pending{order: order, at: now}
}

// Refused takes in that an order was certainly not accepted.
func (p *Planner) Refused(order Order) { delete(p.orders, order.Server.Key()) }

// Models returns how many servers each model has.
func (p *Planner) Models() map[string]int {
	counts := map[string]int{}
	for _, model := range p.models {
		counts[model]++
	}
	return counts
}
