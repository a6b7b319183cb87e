package store

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/platform"
)

// pagedTransport returns a list in two pages; the store's revision rises from 5 to 8 between them.
type pagedTransport struct{}

func (pagedTransport) Send(_ context.Context, call platform.Call) (platform.Reply, error) {
	body := `{"items":[{"metadata":{"name":"a","revision":3},"spec":1}],"has_more":true,"current_rev":5}`
	if strings.Contains(call.Target, "after=a") {
		body = `{"items":[{"metadata":{"name":"b","revision":4},"spec":1}],"has_more":false,"current_rev":8}`
	}
	return platform.Reply{Status: http.StatusOK, Body: []byte(body)}, nil
}

// Guards against missed changes after a list of several pages, such as that of 2,200 servers. A server of the first page began to leave
// before the last page was read. A watch from the last page's revision never showed that change, so the server received requests until
// it was gone.
func TestListReturnsRevisionOfFirstPage(t *testing.T) {
	store := New(pagedTransport{}, pagedTransport{}, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
	objects, revision, err := store.List(context.Background(), platform.KindServers)
	if err != nil || len(objects) != 2 {
		t.Fatalf("%v, %v", objects, err)
	}
	if revision != 5 {
		t.Errorf("got revision %d, want 5, that of the first page", revision)
	}
}
