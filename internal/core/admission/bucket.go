package admission

import "time"

// bucket is a token bucket whose refusals queue up in time.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
	// promised is until when the tokens to come are promised to requests refused before.
	promised time.Time
}

// set changes rate and burst; a new bucket starts full.
func (b *bucket) set(rate, burst float64) {
	if b.burst == 0 {
		b.tokens = burst
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 && !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	}
	b.at = now
}

// has says whether a request may take tokens. A cost above the burst needs a full bucket and takes it
// into debt, else it could never pass.
func (b *bucket) has(cost, reserve float64) bool {
	return b.tokens >= min(cost, b.burst-reserve)+reserve
}

func (b *bucket) take(cost float64) { b.tokens -= cost }

// promise returns the time until the tokens will be there, behind all requests promised before.
func (b *bucket) promise(now time.Time, cost float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	lack := max(0, min(cost, b.burst)-b.tokens)
	if first := now.Add(seconds(lack / b.rate)); b.promised.Before(first) {
		b.promised = first
	} else {
		b.promised = b.promised.Add(seconds(cost / b.rate))
	}
	if limit := now.Add(maxRetryAfter); b.promised.After(limit) {
		b.promised = limit
	}
	return b.promised.Sub(now)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
