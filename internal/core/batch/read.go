package batch

// ReadResults returns the published results from a position on, limited like those of Results. It returns false if none is
// known there and the store must be read first. Confirmed says that the store was read after the request arrived and
// contained no page that isn't applied here.
//
// Another process may have run the job for a while and returned pages to the reader that this one doesn't know: it took
// the job over, or was assigned it as well, while this process was paused, partitioned, or wrongly assumed to be the
// only runner. A reader that received the result at position 68 from that process would learn here that nothing is
// published at 67. Only the store that holds the pages can show that a page doesn't exist, not what this process
// knows of others.
func (p *Progress) ReadResults(from, maxBytes int, confirmed bool) ([]Result, bool) {
	results := p.Results(from, maxBytes)
	return results, len(results) > 0 || p.Complete() || confirmed
}
