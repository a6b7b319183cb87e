package demo

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	firstVersion  = 1
	secondVersion = 2
	groupsPerStep = 6
	itemsPerGroup = 2
	streamEvents  = 5
	eventPace     = 5 * time.Millisecond
	// readWait is how long a read of results is held back while there is nothing new.
	readWait    = 500 * time.Millisecond
	stepLimit   = 30 * time.Second
	orderLimit  = 20 * time.Second
	submitLimit = 10 * time.Second
)

func (p *player) stepName(number int) string {
	return fmt.Sprintf("%s-%d", p.deployment.Steps, number)
}

func (p *player) items(step string) []platformtest.Item {
	var items []platformtest.Item
	for group := range groupsPerStep {
		for i := range itemsPerGroup {
			id := fmt.Sprintf("%s-%d-%d", step, group, i)
			items = append(items, platformtest.Item{
				ID: id, Path: fmt.Sprintf("/%s/%d", p.deployment.Steps, group), Group: fmt.Sprint(group),
				Reward: &platformtest.Reward{ID: rewardOf(id), Host: p.deployment.Host, Path: fmt.Sprintf("/%s/%s", p.deployment.Lookup, id)},
			})
		}
	}
	return items
}

// rewardOf is the id of an item's reward call.
func rewardOf(item string) string { return "score-" + item }

// isScored says whether a result has the signature of a service for its reward call as its score.
func (p *player) isScored(result platformtest.Result) bool {
	return slices.ContainsFunc(p.stage.services, func(service *platformtest.Server) bool {
		return result.Score == platformtest.Signature(service.ID, rewardOf(result.ID))
	})
}

// step hands a step in at all gateways, as a trainer does that lost the first answer, and reads its results at each.
func (p *player) step(ctx context.Context, number, minVersion int) error {
	started := time.Now()
	name := p.stepName(number)
	items := p.items(name)
	body := platformtest.Submission(p.deployment.Model, minVersion, groupsPerStep, items)
	for _, gateway := range p.stage.gateways {
		if err := p.submit(ctx, gateway, name, body); err != nil {
			return err
		}
	}
	var lists [][]platformtest.Result
	for _, gateway := range p.stage.gateways {
		list, err := p.readAll(ctx, gateway, name, len(items))
		if err != nil {
			return err
		}
		lists = append(lists, list)
	}
	seen := stepSeen(name, items, lists[0], minVersion)
	for _, result := range lists[0] {
		if !p.isScored(result) {
			seen.Unscored++
		}
	}
	seen.Same = !slices.ContainsFunc(lists, func(list []platformtest.Result) bool { return !reflect.DeepEqual(list, lists[0]) })
	p.seen.Steps = append(p.seen.Steps, seen)
	p.tell("%s: %d items, made by version %d or newer, in %v", name, seen.Items, seen.Oldest, time.Since(started).Round(time.Millisecond))
	return p.end(ctx, name)
}

func (p *player) submit(ctx context.Context, at *entry, name, body string) error {
	var got answer
	err := until(ctx, "step accepted", submitLimit, func() bool {
		var err error
		got, err = p.client.ask(ctx, at, question{
			method: http.MethodPost, path: "/" + p.deployment.Steps + "/" + name, key: p.deployment.key(p.deployment.Trainer), id: name, body: body,
		})
		return err == nil && got.status == http.StatusAccepted
	})
	return errors.Wrapf(err, "answered %d: %s", got.status, got.body)
}

// readAll reads a step's results until so many are listed.
func (p *player) readAll(ctx context.Context, at *entry, name string, total int) ([]platformtest.Result, error) {
	var all []platformtest.Result
	var wrong error
	err := until(ctx, "all results", stepLimit, func() bool {
		got, err := p.client.ask(ctx, at, question{
			method: http.MethodGet, path: platformtest.JobTarget(name, len(all)), key: p.deployment.key(p.deployment.Trainer), id: name, wait: readWait,
		})
		if err != nil || got.status != http.StatusOK {
			return false
		}
		read, err := platformtest.ReadResults(got.body)
		if err == nil && read.Next != len(all)+len(read.Results) {
			err = errors.Errorf("next %d after %d results and %d more", read.Next, len(all), len(read.Results))
		}
		if err != nil {
			wrong = err
			return true
		}
		all = append(all, read.Results...)
		return len(all) >= total
	})
	if wrong != nil {
		err = wrong
	}
	return all, errors.Wrapf(err, "%s at %s, %d of %d", name, at.set.HostID, len(all), total)
}

// stepSeen holds a step's results against its items.
func stepSeen(name string, items []platformtest.Item, results []platformtest.Result, minVersion int) StepSeen {
	seen := StepSeen{Step: name, Items: len(items), MinVersion: minVersion}
	times := map[string]int{}
	for _, result := range results {
		times[result.ID]++
		if result.State != platformtest.Completed || result.Text != platformtest.OutputText(result.ID, streamEvents) || len(result.Versions) == 0 {
			seen.Wrong++
			continue
		}
		oldest := slices.Min(result.Versions)
		if seen.Oldest == 0 || oldest < seen.Oldest {
			seen.Oldest = oldest
		}
	}
	for _, item := range items {
		switch {
		case times[item.ID] == 0:
			seen.Missing++
		case times[item.ID] > 1:
			seen.Twice++
		}
	}
	return seen
}

// end tells the system that the trainer has all results.
func (p *player) end(ctx context.Context, name string) error {
	got, err := p.client.ask(ctx, p.stage.gateways[0], question{
		method: http.MethodDelete, path: platformtest.JobTarget(name, 0), key: p.deployment.key(p.deployment.Trainer), id: name,
	})
	if err == nil && got.status != http.StatusOK {
		err = errors.Errorf("end of %s: answered %d: %s", name, got.status, got.body)
	}
	return err
}

// changeWeights names new weights and waits until an engine was ordered to load them.
func (p *player) changeWeights(ctx context.Context) error {
	sent := time.Now()
	p.stage.store.PutModelVersion(p.deployment.Model, secondVersion)
	// An engine that is not ordered in time is named among the promises.
	_ = until(ctx, "engine ordered to load new weights", orderLimit, func() bool {
		return slices.ContainsFunc(p.stage.engines, func(engine *platformtest.Server) bool { return len(engine.Orders()) > 0 })
	})
	for _, engine := range p.stage.engines {
		for _, order := range engine.Orders() {
			fenced := order.Holder != "" && order.FenceToken != 0 && order.Expect != nil
			p.seen.Orders = append(p.seen.Orders, OrderSeen{Server: engine.ID, Version: order.Version, Fenced: fenced})
			p.stage.store.Register(engine, false)
		}
	}
	p.tell("%d engine(s) ordered to load new weights within %v", len(p.seen.Orders), time.Since(sent).Round(time.Millisecond))
	return ctx.Err()
}
