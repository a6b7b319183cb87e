package admission

import "time"

// bucket is a token bucket that gives refused requests retry times one after the other.
type bucket struct {
	// rate is in tokens per second; burst is the most tokens that the bucket holds.
	rate   float64
	burst  float64
	tokens float64
	// filled is when tokens was last updated.
	filled time.Time
	// scheduledUntil is the time until which future tokens are set aside for requests refused earlier.
	scheduledUntil time.Time
}

// configure changes rate and burst; a new bucket starts full.
func (b *bucket) configure(rate, burst float64) {
	if b.burst == 0 {
		b.tokens = burst
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 && !b.filled.IsZero() {
		b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	}
	b.filled = now
}

// canTake reports whether a request may take cost tokens and leave reserve in the bucket. A cost above the burst
// needs a full bucket and makes its balance negative; otherwise it could never be admitted.
func (b *bucket) canTake(cost, reserve float64) bool {
	return b.tokens >= b.needed(cost, reserve)
}

// needed returns how many tokens the bucket must hold for a request.
func (b *bucket) needed(cost, reserve float64) float64 { return min(cost, b.burst-reserve) + reserve }

func (b *bucket) take(cost float64) { b.tokens -= cost }

// scheduleRetry returns the time until the tokens for a request that was refused with this reserve will be available,
// after those set aside for requests refused earlier; at most maxRetryAfter.
func (b *bucket) scheduleRetry(now time.Time, cost, reserve float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	missing := max(0, b.needed(cost, reserve)-b.tokens)
	if earliest := now.Add(seconds(missing / b.rate)); b.scheduledUntil.Before(earliest) {
		b.scheduledUntil = earliest
	} else {
		b.scheduledUntil = b.scheduledUntil.Add(seconds(cost / b.rate))
	}
	if latest := now.Add(maxRetryAfter); b.scheduledUntil.After(latest) {
		b.scheduledUntil = latest
	}
	return b.scheduledUntil.Sub(now)
}

// seconds converts seconds to a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
