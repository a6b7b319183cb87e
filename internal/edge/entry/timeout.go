package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
)

const headerRequestTimeout = "Request-Timeout"

// deadline returns the time at which the request times out, from its Request-Timeout header in seconds; fractions are
// allowed. Without the header DefaultRequestTimeout applies.
func deadline(c fiber.Ctx, now time.Time) (time.Time, error) {
	text := c.Get(headerRequestTimeout)
	if text == "" {
		return now.Add(DefaultRequestTimeout), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	timeout := time.Duration(seconds * float64(time.Second))
	// NaN compares as false with every bound.
	if err != nil || timeout <= 0 || !(seconds <= MaxRequestTimeout.Seconds()) {
		return time.Time{}, badRequest("%s: want seconds above 0 and up to %.0f, have %q", headerRequestTimeout, MaxRequestTimeout.Seconds(), text)
	}
	return now.Add(timeout), nil
}

// acceptedDeadline is deadline for a request that is about to be sent to a server. A planned stop refuses it if the process may end before.
func (e *Entry) acceptedDeadline(c fiber.Ctx) (time.Time, error) {
	now := time.Now()
	end, err := deadline(c, now)
	if err != nil {
		return time.Time{}, err
	}
	return end, e.stop.Load().Check(now, end)
}
