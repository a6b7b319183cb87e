package usage

// tallied names a count of the window of a Tally.
type tallied struct {
	agent        uint64
	organisation uint32
}

// Tally sums the counts of one window by organisation. Copies of a count merge by maximum, as in a Ledger, so all
// counts have to be kept until the sums are taken; but with a number for the organisation and without the window, which
// takes less memory. It is not safe for concurrent use.
type Tally struct {
	places  map[string]uint32
	names   []string
	amounts map[tallied]Amount
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{places: make(map[string]uint32), amounts: make(map[tallied]Amount)}
}

// Merge takes over what the count has beyond the tally. The count must be one of the tally's window.
func (t *Tally) Merge(count Count) {
	place, ok := t.places[count.Cell.Organisation]
	if !ok {
		place = uint32(len(t.names)) //nolint:gosec // far fewer organisations
		t.places[count.Cell.Organisation] = place
		t.names = append(t.names, count.Cell.Organisation)
	}
	key := tallied{agent: count.Cell.Agent, organisation: place}
	t.amounts[key] = t.amounts[key].Max(count.Amount)
}

// Sums returns what each organisation used.
func (t *Tally) Sums() map[string]Amount {
	sums := make(map[string]Amount, len(t.names))
	for key, amount := range t.amounts {
		name := t.names[key.organisation]
		sums[name] = sums[name].Plus(amount)
	}
	return sums
}
