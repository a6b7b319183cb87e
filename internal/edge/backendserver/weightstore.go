package backendserver

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// WeightStore is the client of the rate-limited weight store. It is safe for concurrent use.
type WeightStore struct {
	baseClient
}

// NewWeightStore returns a client of the weight store at the URL.
func NewWeightStore(baseURL string, opts ...Option) *WeightStore {
	return &WeightStore{baseClient: newBaseClient(baseURL, opts)}
}

// Fetch copies the named weights to the writer and returns how many bytes it has copied. The error
// is ErrBusy if the store's rate limit is exceeded.
func (w *WeightStore) Fetch(ctx context.Context, name string, to io.Writer) (int64, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := w.prepare(req, http.MethodGet, PathWeights+"/"+url.PathEscape(name), nil); err != nil {
		return 0, err
	}
	req.URI().DisablePathNormalizing = true
	stream, err := w.http.Open(ctx, req)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	defer func() { _ = stream.Close() }()
	if err := statusError(PathWeights, stream.Status()); err != nil {
		return 0, errors.Wrap(err, name)
	}
	n, err := io.Copy(to, stream)
	return n, errors.Wrap(err, name)
}
