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

// PathLoadHosts is the path to which the hosts that can run are put.
const PathLoadHosts = "/standin/hosts"

// Server serves a Memory over HTTP.
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
	return respond(c, edge.ObjectListResponse{Objects: objects}, err)
}

func (s *Server) get(c fiber.Ctx) error {
	object, err := s.Get(s.Context(), objectName(c))
	return respond(c, object, err)
}

func (s *Server) put(c fiber.Ctx) error {
	version, err := s.Put(s.Context(), objectName(c), json.RawMessage(c.Body()), versionParameter(c, edge.QueryIfVersion))
	return respond(c, edge.WriteResponse{Version: version}, err)
}

func (s *Server) remove(c fiber.Ctx) error {
	err := s.Delete(s.Context(), objectName(c), versionParameter(c, edge.QueryIfVersion))
	return respond(c, struct{}{}, err)
}

func (s *Server) watch(c fiber.Ctx) error {
	milliseconds, err := strconv.ParseInt(c.Query(edge.QueryWait), 10, 64)
	if err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	wait := time.Duration(milliseconds) * time.Millisecond
	object, err := s.Watch(s.Context(), objectName(c), versionParameter(c, edge.QueryAfter), wait)
	return respond(c, object, err)
}

func (s *Server) order(c fiber.Ctx) error {
	var order edge.ServerOrder
	if !web.Decode(c, &order) {
		return nil
	}
	return respond(c, struct{}{}, s.Order(s.Context(), order))
}

func (s *Server) report(c fiber.Ctx) error {
	return respond(c, struct{}{}, s.Report(s.Context(), objectName(c), json.RawMessage(c.Body())))
}

func (s *Server) hosts(c fiber.Ctx) error {
	hosts, err := s.Hosts(s.Context())
	return respond(c, edge.HostListResponse{Hosts: hosts}, err)
}

func (s *Server) loadHosts(c fiber.Ctx) error {
	var rows edge.HostListResponse
	if !web.Decode(c, &rows) {
		return nil
	}
	s.SetHosts(rows.Hosts)
	return respond(c, struct{}{}, nil)
}

// respond sends the body, or the status of the platform's error. For a lost answer it closes the connection without a response.
func respond(c fiber.Ctx, body any, err error) error {
	switch {
	case err == nil:
		return c.JSON(body)
	case errors.Is(err, edge.ErrOutcomeUnknown):
		return web.CutAnswer(c)
	case errors.Is(err, edge.ErrNotFound):
		return sendError(c, http.StatusNotFound, err)
	case errors.Is(err, edge.ErrConflict):
		return sendError(c, http.StatusConflict, err)
	case errors.Is(err, edge.ErrFenced):
		return sendError(c, http.StatusPreconditionFailed, err)
	case errors.Is(err, edge.ErrUnavailable):
		return sendError(c, http.StatusServiceUnavailable, err)
	case errors.Is(err, ErrTooLarge):
		return sendError(c, http.StatusRequestEntityTooLarge, err)
	default:
		return sendError(c, http.StatusInternalServerError, err)
	}
}

func sendError(c fiber.Ctx, status int, err error) error {
	return c.Status(status).SendString(err.Error())
}

// objectName returns the unescaped rest of the request's path.
func objectName(c fiber.Ctx) string {
	name, err := url.PathUnescape(c.Params("*"))
	if err != nil {
		return c.Params("*")
	}
	return name
}

// versionParameter returns the version in a query parameter, or 0 if it is absent or malformed.
func versionParameter(c fiber.Ctx, parameter string) edge.Version {
	version, err := strconv.ParseUint(c.Query(parameter), 10, 64)
	if err != nil {
		return 0
	}
	return edge.Version(version)
}
