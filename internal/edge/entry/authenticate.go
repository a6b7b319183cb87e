package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

const bearerPrefix = "Bearer "

// isolatedRetryAfter is the Retry-After of a refusal by an isolated host; the load balancer may pick another host for
// the retry.
const isolatedRetryAfter = 2 * time.Second

// caller is the authenticated sender of a request.
type caller struct {
	organisation ticket.Organisation
	// key is the key that was presented. It is only used to keep the key out of forwarded requests, and is never sent
	// anywhere.
	key     string
	keyHash string
}

// authenticate returns the organisation that holds the presented key.
//
// A host that is cut off from the platform and the relays doesn't learn that a key was withdrawn, and would keep
// accepting it. Such a host refuses every request; Fresh bounds how long it may be unaware.
func (e *Entry) authenticate(c fiber.Ctx) (caller, error) {
	if !e.deps.Views.Fresh(time.Now()) {
		return caller{}, verdict.Refuse(verdict.NotRun, verdict.ReasonIsolated, isolatedRetryAfter,
			"this host can't confirm that keys are still valid")
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok || key == "" {
		return caller{}, verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0,
			"send the key as Authorization: Bearer KEY")
	}
	organisation, hash, ok := e.deps.Views.View().Authenticate(key)
	if !ok {
		return caller{}, verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0,
			"the key is unknown or withdrawn")
	}
	return caller{organisation: organisation, key: key, keyHash: hash}, nil
}

// permit checks that the organisation may use the pool.
func permit(from caller, pool ticket.Pool) error {
	if len(pool.Organisations) == 0 || slices.Contains(pool.Organisations, from.organisation.Name) {
		return nil
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonForbidden, 0,
		"organisation %s may not use pool %s", from.organisation.Name, pool.Name)
}
