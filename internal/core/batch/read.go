package batch

// Show returns what a read of the results from a position on may be told: those that are listed there, as far as their text stays below
// maxBytes, at least one if there is one. It returns false if nothing is known to be listed there and that may be wrong. Confirmed says that
// the store was asked after the read came in, and had no page that isn't taken in here.
//
// Guard: another process may have run the job for a while, and shown pages that this one never heard of: it took the job over, or was given it
// as well, while this one stood still, was cut off, or believed that it was alone. A reader that was shown position 68 there is told here that
// nothing is listed at 67. No belief about other processes proves that a page doesn't exist; the store that holds the pages does.
func (p *Progress) Show(from, maxBytes int, confirmed bool) ([]Result, bool) {
	results := p.Results(from, maxBytes)
	return results, len(results) > 0 || p.Complete() || confirmed
}
