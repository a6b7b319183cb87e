package batch

// ReadResults returns the published results from a position on, limited like those of Results. It returns false if none is
// known there and the store must be asked first. Confirmed says that the store was asked after the read arrived and
// had no page that isn't applied here.
//
// Another process may have run the job for a while and shown pages that this one doesn't know: it took the job over,
// or was assigned it as well, while this process was paused, partitioned, or wrongly believed that it was the only
// runner. A reader that was shown position 68 there would be told here that nothing is published at 67. No belief
// about other processes proves that a page doesn't exist; only the store that holds the pages does.
func (p *Progress) ReadResults(from, maxBytes int, confirmed bool) ([]Result, bool) {
	results := p.Results(from, maxBytes)
	return results, len(results) > 0 || p.Complete() || confirmed
}
