package batch

import "slices"

const (
	// MaxServerEnds is how many servers may end under an item, or under its reward call, before it is withheld: it is sent to no other
	// server and is lost once the time of its job is up.
	MaxServerEnds = 3
	// suspectServerEnds is the number of ended servers from which an item is a suspect. Suspects never share a server, so that the last end
	// before an item is withheld has one possible cause.
	suspectServerEnds = MaxServerEnds - 1
)

// ServerEnds counts the servers that ended while they ran an item or its reward call.
type ServerEnds struct {
	Item   int `msgpack:"i"`
	Reward int `msgpack:"r"`
}

// Merge returns the higher counts of both. The counts of two entries may include the same server.
func (e ServerEnds) Merge(other ServerEnds) ServerEnds {
	return ServerEnds{Item: max(e.Item, other.Item), Reward: max(e.Reward, other.Reward)}
}

// Suspect reports whether an item with these counts may be what ends the servers. It may only run at a server without another suspect.
func (e ServerEnds) Suspect() bool { return max(e.Item, e.Reward) >= suspectServerEnds }

// RecordServerEnd records that a server ended while it ran the item. At the limit, an item that waits is withheld at once, and one that runs
// when it would wait again.
func (p *Progress) RecordServerEnd(id string) {
	if state, ok := p.items[id]; ok && state.unfinished() {
		state.ends.Item++
		state.withholdIfWaiting()
	}
}

// RecordRewardServerEnd records that a server ended while it ran the item's reward call.
func (p *Progress) RecordRewardServerEnd(id string) {
	if state, ok := p.items[id]; ok && state.unfinished() {
		state.ends.Reward++
		state.withholdIfWaiting()
	}
}

// MergeServerEnds applies what is known of items from other jobs and other entries.
func (p *Progress) MergeServerEnds(known func(item string) ServerEnds) {
	for id, state := range p.items {
		if state.unfinished() {
			state.ends = state.ends.Merge(known(id))
			state.withholdIfWaiting()
		}
	}
}

// ServerEnds returns the counts of an item.
func (p *Progress) ServerEnds(id string) ServerEnds {
	if state, ok := p.items[id]; ok {
		return state.ends
	}
	return ServerEnds{}
}

// Suspect reports whether the item is a suspect.
func (p *Progress) Suspect(id string) bool { return p.ServerEnds(id).Suspect() }

// Withheld returns the number of items that are sent to no server any more.
func (p *Progress) Withheld() int { return p.count(phaseWithheld) }

// Postpone lets the items that wait go before this one.
func (p *Progress) Postpone(id string) {
	if p.IsWaiting(id) {
		state := p.items[id]
		p.queue = append(slices.DeleteFunc(p.queue, func(other *itemState) bool { return other == state }), state)
	}
}

// withholdIfWaiting withholds the item if it waits to be sent and too many servers have ended under it.
func (s *itemState) withholdIfWaiting() {
	switch {
	case s.phase == phaseWaiting && s.ends.Item >= MaxServerEnds:
		s.phase = phaseWithheld
	case s.phase == phaseAwaitingScore && s.ends.Reward >= MaxServerEnds:
		s.phase = phaseWithheld
	default:
	}
}
