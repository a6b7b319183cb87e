package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
)

const headerRequestTimeout = "Request-Timeout"

// deadline reads Request-Timeout in seconds; fractions are allowed.
func deadline(c fiber.Ctx, now time.Time) (time.Time, error) {
	text := c.Get(headerRequestTimeout)
	if text == "" {
		return now.Add(DefaultRequestTimeout), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	// A comparison with a number that is none is false, so that the bounds are stated as what holds.
	if err != nil || !(seconds > 0 && seconds <= MaxRequestTimeout.Seconds()) {
		return time.Time{}, badRequest("%s: want seconds above 0 and up to %.0f, have %q", headerRequestTimeout, MaxRequestTimeout.Seconds(), text)
	}
	return now.Add(time.Duration(seconds * float64(time.Second))), nil
}
