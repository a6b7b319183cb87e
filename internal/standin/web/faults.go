package web

import "github.com/gofiber/fiber/v3"

// HandleFaults serves changes of the injected faults of a stand-in. Faults that the body omits keep their values.
// changed, which may be nil, runs after the change.
func HandleFaults[T any](app *fiber.App, current func() T, set func(T), changed func(fiber.Ctx, T)) {
	app.Post(PathFaults, func(c fiber.Ctx) error {
		faults := current()
		if !Decode(c, &faults) {
			return nil
		}
		set(faults)
		if changed != nil {
			changed(c, faults)
		}
		return c.JSON(faults)
	})
}

// HandleState serves a snapshot of a stand-in.
func HandleState[T any](app *fiber.App, state func() T) {
	app.Get(PathState, func(c fiber.Ctx) error { return c.JSON(state()) })
}
