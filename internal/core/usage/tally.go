package usage

// tallyKey identifies a cell of a Tally's window. Its organisation is an index into Tally.names.
type tallyKey struct {
	agent        uint64
	organisation uint32
}

// Tally sums the counts of one window by organisation. Copies of a count merge by maximum, as in a Ledger, so all counts
// must be kept until the sums are computed. To save memory their keys hold an index for the organisation and no window. It
// is not safe for concurrent use.
type Tally struct {
	// indexes maps the name of an organisation to its index in names.
	indexes map[string]uint32
	names   []string
	amounts map[tallyKey]Amount
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{indexes: make(map[string]uint32), amounts: make(map[tallyKey]Amount)}
}

// Merge raises the cell's amount to the count's where that is larger. The count must belong to the tally's window.
func (t *Tally) Merge(count Count) {
	index, ok := t.indexes[count.Cell.Organisation]
	if !ok {
		index = uint32(len(t.names)) //nolint:gosec // the number of organisations is far below 2^32
		t.indexes[count.Cell.Organisation] = index
		t.names = append(t.names, count.Cell.Organisation)
	}
	key := tallyKey{agent: count.Cell.Agent, organisation: index}
	t.amounts[key] = t.amounts[key].Max(count.Amount)
}

// Sums returns the usage of each organisation.
func (t *Tally) Sums() map[string]Amount {
	sums := make(map[string]Amount, len(t.names))
	for key, amount := range t.amounts {
		name := t.names[key.organisation]
		sums[name] = sums[name].Plus(amount)
	}
	return sums
}
