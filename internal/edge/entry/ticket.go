package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

func (e *Entry) applyTicket(c fiber.Ctx) error {
	number, err := e.ticketNumber(c)
	if err != nil {
		return err
	}
	parsed, err := ticket.Parse(c.Body())
	if err != nil {
		return badRequest("ticket %d: %v", number, err)
	}
	if err := e.deps.Tickets.Apply(c.Context(), number, parsed); err != nil {
		return err
	}
	return e.sendStatus(c, number)
}

func (e *Entry) showTicket(c fiber.Ctx) error {
	number, err := e.ticketNumber(c)
	if err != nil {
		return err
	}
	return e.sendStatus(c, number)
}

func (e *Entry) sendStatus(c fiber.Ctx, number int) error {
	status, err := e.deps.Tickets.Status(c.Context(), number)
	if err != nil {
		return err
	}
	return c.JSON(status)
}

// ticketNumber checks the operator's key, if the settings list any, and returns the number in the path.
func (e *Entry) ticketNumber(c fiber.Ctx) (int, error) {
	if err := e.authoriseOperator(c); err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(c.Params("number"))
	if err != nil || number < 1 {
		return 0, badRequest("a ticket has a number from 1, not %q", c.Params("number"))
	}
	return number, nil
}

func (e *Entry) authoriseOperator(c fiber.Ctx) error {
	if len(e.config.OperatorKeyHashes) == 0 {
		return nil
	}
	key := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for _, known := range e.config.OperatorKeyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
			return nil
		}
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonUnknownKey, 0, "tickets need an operator's key")
}
