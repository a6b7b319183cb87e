package backendserver

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// userAgent replaces the HTTP library's default user agent, which the server could take for the caller's.
const userAgent = "oleandershelf"

// Service is the client of one backend server whose answers are passed on unchanged. It follows no
// redirects and sends every call only once. It is safe for concurrent use.
type Service struct {
	baseClient
}

// NewService returns a client of the server at the URL.
func NewService(baseURL string, opts ...Option) *Service {
	return &Service{baseClient: newBaseClient(baseURL, opts)}
}

// Answer is an answer whose body has not been read yet. Body must be closed.
type Answer struct {
	Status int
	Header []request.HeaderField
	Body   *exchange.Stream
}

// Call sends a request and returns once the header of the answer has arrived. The error is
// ErrNotSent if the call can't have run, and ErrAnswerLost if it may have run.
func (s *Service) Call(
	ctx context.Context, method, path, query string, header []request.HeaderField, body []byte,
) (*Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	target := s.baseURL + path
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
	return &Answer{Status: stream.Status(), Header: copyHeader(stream.Header()), Body: stream}, nil
}

// copyHeader copies the header, because the library reuses its buffers. It leaves out the fields
// that concern only the connection between this host and the server.
func copyHeader(from *fasthttp.ResponseHeader) []request.HeaderField {
	var header []request.HeaderField
	for name, value := range from.All() {
		if isHopByHop(string(name)) {
			continue
		}
		header = append(header, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return header
}

func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "upgrade", "trailer", "proxy-connection":
		return true
	default:
		return false
	}
}
