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

// pagedCarrier answers a list in two parts, between which an object changes.
type pagedCarrier struct{}

func (pagedCarrier) Carry(_ context.Context, call platform.Call) (platform.Reply, error) {
	body := `{"items":[{"metadata":{"name":"a","revision":3},"spec":1}],"has_more":true,"current_rev":5}`
	if strings.Contains(call.Target, "after=a") {
		body = `{"items":[{"metadata":{"name":"b","revision":4},"spec":1}],"has_more":false,"current_rev":8}`
	}
	return platform.Reply{Status: http.StatusOK, Body: []byte(body)}, nil
}

// A list of 2,200 servers comes in several answers. A server of the first one began to leave before the last one was given; followed from
// the revision of the last, that was never seen and the server got requests for as long as it lived.
func TestAListIsFollowedFromItsFirstAnswer(t *testing.T) {
	store := New(pagedCarrier{}, pagedCarrier{}, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
	objects, revision, err := store.List(context.Background(), platform.KindServers)
	if err != nil || len(objects) != 2 {
		t.Fatalf("%v, %v", objects, err)
	}
	if revision != 5 {
		t.Errorf("followed from revision %d", revision)
	}
}
