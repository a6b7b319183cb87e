package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// PathLoadHosts takes the possible hosts.
const PathLoadHosts = "/standin/hosts"

// Server offers a Memory over HTTP.
type Server struct {
	*web.Server
	*Memory
}

// New serves an empty platform on the listener until the context ends.
func New(ctx context.Context, listener net.Listener, opts ...Option) (*Server, error) {
	server := &Server{Server: web.NewServer(ctx, listener), Memory: NewMemory(opts...)}
	app := web.NewApp()
	app.Get(edge.PathObjects, server.list)
	app.Get(edge.PathObjects+"/*", server.get)
	app.Put(edge.PathObjects+"/*", server.put)
	app.Delete(edge.PathObjects+"/*", server.remove)
	app.Get(edge.PathWatch+"/*", server.watch)
	app.Put(edge.PathServerOrders, server.order)
	app.Put(edge.PathUsageReports+"/*", server.report)
	app.Get(edge.PathHosts, server.hosts)
	app.Put(PathLoadHosts, server.loadHosts)
	web.HandleFaults(app, server.CurrentFaults, server.SetFaults, nil)
	web.HandleState(app, server.State)
	server.Serve(app)
	return server, nil
}

func (s *Server) list(c fiber.Ctx) error {
	objects, err := s.List(s.Context(), c.Query(edge.QueryPrefix))
	return answer(c, edge.ObjectList{Objects: objects}, err)
}

func (s *Server) get(c fiber.Ctx) error {
	object, err := s.Get(s.Context(), nameOf(c))
	return answer(c, object, err)
}

func (s *Server) put(c fiber.Ctx) error {
	version, err := s.Put(s.Context(), nameOf(c), json.RawMessage(c.Body()), versionOf(c, edge.QueryIfVersion))
	return answer(c, edge.Written{Version: version}, err)
}

func (s *Server) remove(c fiber.Ctx) error {
	err := s.Delete(s.Context(), nameOf(c), versionOf(c, edge.QueryIfVersion))
	return answer(c, struct{}{}, err)
}

func (s *Server) watch(c fiber.Ctx) error {
	milliseconds, err := strconv.ParseInt(c.Query(edge.QueryWait), 10, 64)
	if err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	wait := time.Duration(milliseconds) * time.Millisecond
	object, err := s.Watch(s.Context(), nameOf(c), versionOf(c, edge.QueryAfter), wait)
	return answer(c, object, err)
}

func (s *Server) order(c fiber.Ctx) error {
	var order edge.ServerOrder
	if !web.Decode(c, &order) {
		return nil
	}
	return answer(c, struct{}{}, s.Order(s.Context(), order))
}

func (s *Server) report(c fiber.Ctx) error {
	return answer(c, struct{}{}, s.Report(s.Context(), nameOf(c), json.RawMessage(c.Body())))
}

func (s *Server) hosts(c fiber.Ctx) error {
	hosts, err := s.Hosts(s.Context())
	return answer(c, edge.HostRows{Hosts: hosts}, err)
}

func (s *Server) loadHosts(c fiber.Ctx) error {
	var rows edge.HostRows
	if !web.Decode(c, &rows) {
		return nil
	}
	s.SetHosts(rows.Hosts)
	return answer(c, struct{}{}, nil)
}

// answer maps the errors of the platform to statuses; a lost answer closes the connection.
func answer(c fiber.Ctx, body any, err error) error {
	switch {
	case err == nil:
		return c.JSON(body)
	case errors.Is(err, edge.ErrUnsettled):
		return web.CutAnswer(c)
	case errors.Is(err, edge.ErrNotFound):
		return fail(c, http.StatusNotFound, err)
	case errors.Is(err, edge.ErrConflict):
		return fail(c, http.StatusConflict, err)
	case errors.Is(err, edge.ErrFenced):
		return fail(c, http.StatusPreconditionFailed, err)
	case errors.Is(err, edge.ErrUnavailable):
		return fail(c, http.StatusServiceUnavailable, err)
	case errors.Is(err, ErrTooLarge):
		return fail(c, http.StatusRequestEntityTooLarge, err)
	default:
		return fail(c, http.StatusInternalServerError, err)
	}
}

func fail(c fiber.Ctx, status int, err error) error {
	return c.Status(status).SendString(err.Error())
}

func nameOf(c fiber.Ctx) string {
	name, err := url.PathUnescape(c.Params("*"))
	if err != nil {
		return c.Params("*")
	}
	return name
}

func versionOf(c fiber.Ctx, parameter string) edge.Version {
	version, err := strconv.ParseUint(c.Query(parameter), 10, 64)
	if err != nil {
		return 0
	}
	return edge.Version(version)
}
