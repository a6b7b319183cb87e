package batch

// Work is an item whose text isn't complete.
type Work struct {
	Item *Item
	// Running is set while the item runs; otherwise it waits.
	Running bool
	// Produced is the number of events received so far.
	Produced int
	// Moves is how often the item has moved to a faster server.
	Moves int
	// GroupUnfinished is the number of items of its group without a result.
	GroupUnfinished int
}

// Work returns the items that wait, and those that run, both in their order of submission. It returns none once the job has ended.
func (p *Progress) Work() (waiting, running []Work) {
	if p.ended {
		return nil, nil
	}
	for _, state := range p.order {
		switch state.phase {
		case phaseWaiting:
			waiting = append(waiting, state.work())
		case phaseRunning:
			running = append(running, state.work())
		default:
		}
	}
	return waiting, running
}

func (s *itemState) work() Work {
	return Work{
		Item:            s.item,
		Running:         s.phase == phaseRunning,
		Produced:        s.output.LastEvent,
		Moves:           s.moves,
		GroupUnfinished: s.group.size - s.group.done,
	}
}

// IsWaiting reports whether the item waits to run and may be started.
func (p *Progress) IsWaiting(id string) bool {
	state, ok := p.items[id]
	return ok && !p.ended && state.phase == phaseWaiting
}

// Item returns the item with the ID; nil if the job has none.
func (p *Progress) Item(id string) *Item {
	if state, ok := p.items[id]; ok {
		return state.item
	}
	return nil
}

// RecordMove records that an item moves to a faster server, however the move ends.
func (p *Progress) RecordMove(id string) {
	if state, ok := p.items[id]; ok {
		state.moves++
	}
}

// GroupCounts returns the number of groups and how many of them are complete.
func (p *Progress) GroupCounts() (total, complete int) {
	for _, group := range p.groups {
		if group.complete() {
			complete++
		}
	}
	return len(p.groups), complete
}
