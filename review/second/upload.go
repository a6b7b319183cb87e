package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// uploaders is the number of callers, and uploadsPerCaller how many requests each of them sends.
	uploaders        = 8
	uploadsPerCaller = 30
	// uploadBytes is the length of a body. A caller sends a piece of it in each uploadInterval, 300 ms for all.
	uploadBytes    = 100_000
	uploadPiece    = 10_000
	uploadInterval = 30 * time.Millisecond
	// leavesAfter is when one in leavingShare requests is given up by its caller: half of the latency objective of 400 ms.
	leavesAfter  = 200 * time.Millisecond
	leavingShare = 10
	// lateRunTime is how long servers may still receive requests after the last caller has ended.
	lateRunTime  = 2 * time.Second
	uploadLimit  = 5 * time.Second
	routeTimeout = 3 * time.Second
)

// uploadLog holds the bodies of the requests by their IDs.
type uploadLog struct {
	mu     sync.Mutex
	bodies map[string]string
}

func (l *uploadLog) add(id string) string {
	body := strings.Repeat(id+" ", uploadBytes)[:uploadBytes]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies[id] = body
	return body
}

// truncatedUpload has callers send large bodies over slow links. One in ten gives up and closes its connection in the middle of a body. No
// server may run a request with another body than that of its caller.
func truncatedUpload(w *world) (bool, error) {
	servers := []*platformtest.Server{
		platformtest.NewServer(&w.cleanups, "desk-0", "desk", nil),
		platformtest.NewServer(&w.cleanups, "desk-1", "desk", nil),
	}
	for _, server := range servers {
		w.store.Register(server, false)
	}
	w.store.Configure(1, hostName, model, []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: routeTimeout},
		{Name: "once", Kind: platformtest.Once, Pool: "desk", Timeout: routeTimeout},
	}, map[string][]string{organisation: {apiKey}})
	if err := w.addGateways(2); err != nil {
		return false, err
	}
	log := &uploadLog{bodies: map[string]string{}}
	var callers conc.WaitGroup
	for caller := range uploaders {
		callers.Go(func() { w.uploadAll(log, caller) })
	}
	callers.Wait()
	ticker.Sleep(w.ctx, lateRunTime)
	if w.ctx.Err() != nil {
		return false, errors.WithStack(w.ctx.Err())
	}
	held := true
	for _, server := range servers {
		for _, request := range server.Requests() {
			body, known := log.bodies[request.ID()]
			switch {
			case !known:
				held = false
				w.note("%s ran %s, which no caller sent", server.ID, request.ID())
			case body != request.Body:
				held = false
				w.note("%s ran %s %s with the first %d of the %d bytes of its body", server.ID, request.Target, request.ID(), len(request.Body), len(body))
			}
		}
		w.note("%s ran %d requests", server.ID, len(server.Requests()))
	}
	return held, nil
}

// uploadAll sends the requests of one caller.
func (w *world) uploadAll(log *uploadLog, caller int) {
	for n := range uploadsPerCaller {
		route := []string{"safe", "once"}[n%2]
		id := fmt.Sprintf("%s-%d-%d", route, caller, n)
		leaves := w.trouble && (caller+n)%leavingShare == 0
		status, sent, err := upload(w.ctx, w.gateways[caller%len(w.gateways)], route, id, log.add(id), leaves)
		w.note("sent %s: %d bytes of the body, leaves %v, answer %q %v", id, sent, leaves, status, err)
	}
}

// upload sends a request. If the caller leaves, it closes the connection after leavesAfter. It returns the status line of the answer, and how
// many bytes of the body were sent.
func upload(ctx context.Context, g *gateway, route, id, body string, leaves bool) (status string, sent int, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", g.callers.String())
	if err != nil {
		return "", 0, errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(uploadLimit)); err != nil {
		return "", 0, errors.WithStack(err)
	}
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n",
		route, hostName, id, routeTimeout.Milliseconds(), apiKey, len(body))
	if _, err := io.WriteString(conn, head); err != nil {
		return "", 0, errors.WithStack(err)
	}
	for started := time.Now(); sent < len(body); ticker.Sleep(ctx, uploadInterval) {
		if leaves && time.Since(started) >= leavesAfter {
			return "", sent, nil
		}
		n, err := io.WriteString(conn, body[sent:min(len(body), sent+uploadPiece)])
		if sent += n; err != nil {
			return "", sent, errors.WithStack(err)
		}
	}
	answer := make([]byte, 1<<10)
	n, err := conn.Read(answer)
	status, _, _ = strings.Cut(string(answer[:n]), "\r\n")
	return status, sent, errors.WithStack(err)
}
