package backendserver

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// userAgent keeps the library's default from being taken for the caller's.
const userAgent = "oleandershelf"

// Service is the client of one backend server whose answers are handed on as they are. It follows
// no redirects and sends every call once. It is safe for concurrent use.
type Service struct {
	caller
}

// NewService returns a client of the server at the URL.
func NewService(base string, opts ...Option) *Service {
	return &Service{caller: newCaller(base, opts)}
}

// Answer is an answer whose body is still to be read; Body must be closed.
type Answer struct {
	Status int
	Header []request.HeaderField
	Body   *exchange.Stream
}

// Call sends the call and returns once the head of the answer came. Its error is ErrNotSent if the
// call can't have run, and ErrLost if it may have.
func (s *Service) Call(
	ctx context.Context, method, path, query string, header []request.HeaderField, body []byte,
) (*Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	target := s.base + path
	if query != "" {
		target += "?" + query
	}
	req.SetRequestURI(target)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(method)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetUserAgent(userAgent)
	for _, field := range header {
		req.Header.Add(field.Name, field.Value)
	}
	req.SetBodyRaw(body)
	stream, err := s.http.Open(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	return &Answer{Status: stream.Status(), Header: fields(stream.Header()), Body: stream}, nil
}

// fields copies the header: the library reuses its buffers. What concerns only the connection
// between this host and the server stays out.
func fields(from *fasthttp.ResponseHeader) []request.HeaderField {
	var header []request.HeaderField
	for name, value := range from.All() {
		if connectionField(string(name)) {
			continue
		}
		header = append(header, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return header
}

func connectionField(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "upgrade", "trailer", "proxy-connection":
		return true
	default:
		return false
	}
}
