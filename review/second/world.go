package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// program is the gateway as the deploy file builds it.
	program = "target/oleandershelf"
	// hostName is the host of all routes.
	hostName = "desk.example"
	// organisation holds the key apiKey.
	organisation = "north"
	apiKey       = "key-1"
	model        = "m"
	// caseTimeout ends a case that hangs.
	caseTimeout  = 110 * time.Second
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// world holds the stand-ins and the gateway processes of a case.
type world struct {
	ctx      context.Context
	stop     context.CancelFunc
	cleanups platformtest.Cleanups
	// trouble is false if the case is to run without its disruption.
	trouble  bool
	folder   string
	started  time.Time
	store    *platformtest.Store
	reports  *platformtest.UsageReceiver
	gateways []*gateway
	// linked is set if the gateways reach one another through links.
	linked bool

	mu     sync.Mutex
	record *os.File
}

// gateway is a gateway process.
type gateway struct {
	*binary.Process
	name                string
	callers, admin      netip.AddrPort
	callerURL, adminURL string
	store               *platformtest.Endpoint
	// link is nil unless the world's gateways are linked.
	link *link
}

// newWorld starts the stand-ins of the platform. The record is written into the folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder")
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, started: time.Now(), record: record}
	w.ctx, w.stop = context.WithTimeout(context.Background(), caseTimeout)
	w.store = platformtest.NewStore(&w.cleanups)
	w.reports = platformtest.NewUsageReceiver(&w.cleanups)
	w.store.Put("evacuations", "none", map[string]any{})
	w.store.Remove("evacuations", "none")
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.stop()
	for _, g := range w.gateways {
		g.Kill()
	}
	w.cleanups.Run()
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// note writes a line of the record, with the time since the start.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// addGateways starts gateways with settings like those of a small deployment, and waits until all are ready.
func (w *world) addGateways(count int) error {
	addresses := make([]netip.AddrPort, count)
	for i := range addresses {
		addresses[i] = platformtest.UnusedAddress()
	}
	for i := range count {
		g, err := w.newGateway(fmt.Sprintf("entry-%d", i), addresses[i], addresses[:min(count, 3)])
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !w.await(readyTimeout, func() bool { return w.isReady(g) }) {
			return errors.Errorf("%s is not ready", g.name)
		}
	}
	w.note("%d gateways are ready", count)
	return nil
}

func (w *world) newGateway(name string, peer netip.AddrPort, seeds []netip.AddrPort) (*gateway, error) {
	g := &gateway{name: name, callers: platformtest.UnusedAddress(), admin: platformtest.UnusedAddress(), store: w.store.NewEndpoint(&w.cleanups)}
	g.callerURL, g.adminURL = "http://"+g.callers.String(), "http://"+g.admin.String()
	fields := map[string]any{
		"hostId": name, "availabilityZone": "north-a", "regions": map[string]string{"north-a": "north"},
		"listen": g.callers, "adminListen": g.admin, "peerListen": peer, "seeds": seeds,
		"platformUrl": g.store.URL(), "reportsUrl": w.reports.URL(), "processorCores": 0.304, "usageWindow": "5s", "drainTime": "8s",
		"leaveDelay": "3s", "peerSecret": "the secret of the review", "earlyGeneration": "on", "bodyLimitBytes": 33554432, "memoryMB": 284,
		"maxDescriptors": 4100, "speedPlacement": "auto", "logLevel": "info",
	}
	if w.linked {
		listen := platformtest.UnusedAddress()
		fields["peerListen"], fields["peerAdvertise"] = listen, peer
		var err error
		if g.link, err = newLink(w.ctx, peer, listen); err != nil {
			return nil, err
		}
		w.cleanups.Cleanup(g.link.cut)
	}
	settings, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create a log")
	}
	w.cleanups.Cleanup(func() { w.keepLog(log) })
	g.Process = binary.NewProcess(program, path, log)
	return g, nil
}

// keepLog closes a gateway's log, and copies it to the folder that KEEP_LOGS names, if any.
func (w *world) keepLog(log *os.File) {
	_ = log.Close()
	folder := os.Getenv("KEEP_LOGS")
	if folder == "" {
		return
	}
	if text, err := os.ReadFile(log.Name()); err == nil {
		_ = os.WriteFile(filepath.Join(folder, filepath.Base(log.Name())), text, 0o600)
	}
}

func (w *world) isReady(g *gateway) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.adminURL+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// await polls the condition until it holds or the time is up, and returns whether it holds.
func (w *world) await(timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	for !condition() {
		if !ticker.Sleep(ctx, pollInterval) {
			return condition()
		}
	}
	return true
}
