package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/leader"
	"github.com/oleandershelf/oleandershelf/internal/edge/socket"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// holdingLink is a proxy that can hold up the next request of a kind. It stops reading that request's connection, whose receive buffer is too
// small for the request, so that the kernel of the sender keeps the rest, as it does behind a network that is cut.
type holdingLink struct {
	Address netip.AddrPort

	target string
	work   conc.WaitGroup

	mu sync.Mutex
	// listener accepts the link's connections; nil while it refuses them. The open ones are conns.
	listener net.Listener
	conns    map[net.Conn]bool
	// prefix begins the request to hold up; empty if none is to be held up.
	prefix   string
	held     net.Conn
	released chan struct{}
	// cutEnds is closed when the cut ends; nil if no data is cut off.
	cutEnds chan struct{}
}

// smallestBuffer makes the kernel choose its smallest receive buffer, of some 2 KB with its own data.
const smallestBuffer = 1

func newHoldingLink(t *testing.T, target string) *holdingLink {
	t.Helper()
	l := &holdingLink{target: target, released: make(chan struct{}), conns: map[net.Conn]bool{}}
	l.listen(t, "127.0.0.1:0")
	t.Cleanup(func() {
		l.refuse()
		l.release()
		l.heal()
	})
	return l
}

// listen accepts connections at the address.
func (l *holdingLink) listen(t *testing.T, address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallestBuffer); err != nil {
				t.Error(err)
			}
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	l.Address = netip.MustParseAddrPort(listener.Addr().String())
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	l.work.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.work.Go(func() { l.forward(client) })
		}
	})
}

// refuse resets the link's connections and refuses new ones until listen is called.
func (l *holdingLink) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

// add records an open connection; it returns false if the link refuses connections by now.
func (l *holdingLink) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *holdingLink) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// cut stops all data in both directions until heal is called. Connections stay open, and new ones are accepted.
func (l *holdingLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutEnds = make(chan struct{})
}

func (l *holdingLink) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutEnds != nil {
		close(l.cutEnds)
		l.cutEnds = nil
	}
}

func (l *holdingLink) awaitHeal() {
	l.mu.Lock()
	ends := l.cutEnds
	l.mu.Unlock()
	if ends != nil {
		<-ends
	}
}

// hold holds up the next request that begins with the prefix.
func (l *holdingLink) hold(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefix, l.held = prefix, nil
}

// heldConnection returns the connection of the request that is held up; nil if there is none.
func (l *holdingLink) heldConnection() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// release lets the held request go on.
func (l *holdingLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// awaitRelease waits if the data begins the request to hold up.
func (l *holdingLink) awaitRelease(client net.Conn, data []byte) {
	l.mu.Lock()
	released := l.released
	if l.prefix == "" || released == nil || !bytes.HasPrefix(data, []byte(l.prefix)) {
		l.mu.Unlock()
		return
	}
	l.prefix, l.held = "", client
	l.mu.Unlock()
	<-released
}

func (l *holdingLink) forward(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if !l.add(client) {
		_, _ = client.Close(), server.Close()
		return
	}
	defer l.remove(client)
	l.work.Go(func() { l.copyBytes(server, client, func([]byte) {}) })
	l.copyBytes(client, server, func(data []byte) { l.awaitRelease(client, data) })
}

// copyBytes copies data in one direction, and calls hold before each write.
func (l *holdingLink) copyBytes(from, into net.Conn, hold func(data []byte)) {
	defer func() {
		_ = from.Close()
		_ = into.Close()
	}()
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		hold(chunk[:n])
		l.awaitHeal()
		if _, failed := into.Write(chunk[:n]); failed != nil || err != nil {
			return
		}
	}
}

// holderTrial is a deployment whose gateways are processes of their own, with links before one engine and before the interface for usage
// reports.
type holderTrial struct {
	*deployment
	engine          *platformtest.Server
	orders, reports *holdingLink
	// stores are the links before the store, by host.
	stores map[string]*holdingLink
	// peers are the links over which the processes reach each other, if peersLinked is set.
	peers             []*holdingLink
	peersLinked       bool
	seed              netip.AddrPort
	processes         map[string]*binary.Process
	endpoints         map[string]*platformtest.Endpoint
	callerURLs, ready map[string]string
}

// longName makes the orders and reports that contain it larger than the receive buffer of a holdingLink.
var longName = strings.Repeat("x", 4000)

// newHolderTrial starts three gateways, with links between them if peersLinked is set.
func newHolderTrial(t *testing.T, peersLinked bool) *holderTrial {
	t.Helper()
	d := newDeployment(t, 0)
	trial := &holderTrial{
		deployment: d, peersLinked: peersLinked, engine: platformtest.NewServer(t, "engine-held", "engines", map[string]int{longName: 1}), processes: map[string]*binary.Process{}, endpoints: map[string]*platformtest.Endpoint{},
		stores: map[string]*holdingLink{}, callerURLs: map[string]string{}, ready: map[string]string{},
	}
	trial.orders = newHoldingLink(t, trial.engine.Address().String())
	trial.reports = newHoldingLink(t, strings.TrimPrefix(d.usageReceiver.URL(), "http://"))
	trial.engine.Advertised = trial.orders.Address
	d.store.Register(trial.engine, false)
	for _, engine := range d.engines {
		d.store.Remove("servers", engine.ID)
	}
	d.version++
	d.store.Configure(d.version, hostName, longName, []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: 3 * time.Second},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: 10 * time.Second},
	}, map[string][]string{longName: {keyNorth}})
	for i := range 3 {
		trial.startGateway(fmt.Sprintf("entry-%d", i))
	}
	for host := range trial.processes {
		trial.awaitReady(host)
	}
	return trial
}

func (trial *holderTrial) startGateway(host string) {
	t := trial.t
	t.Helper()
	program := *programPath
	if program == "" {
		built, err := binary.Path()
		if err != nil {
			t.Fatal(err)
		}
		program = built
	}
	endpoint := trial.store.NewEndpoint(t)
	set := trial.settings(host, endpoint)
	trial.stores[host] = newHoldingLink(t, strings.TrimPrefix(endpoint.URL(), "http://"))
	advertised := set.PeerListen
	if trial.peersLinked {
		trial.peers = append(trial.peers, newHoldingLink(t, set.PeerListen.String()))
		advertised = trial.peers[len(trial.peers)-1].Address
	}
	if !trial.seed.IsValid() {
		trial.seed = advertised
	}
	fields, err := json.Marshal(map[string]any{
		"hostId": set.HostID, "availabilityZone": set.AvailabilityZone, "listen": set.Listen, "peerListen": set.PeerListen,
		"peerAdvertise": advertised, "seeds": []netip.AddrPort{trial.seed},
		"adminListen": set.AdminListen, "platformUrl": "http://" + trial.stores[host].Address.String(), "reportsUrl": "http://" + trial.reports.Address.String(),
		"peerSecret": set.PeerSecret, "usageWindow": set.UsageWindow.String(), "leaveDelay": set.LeaveDelay.String(), "drainTime": set.DrainTime.String(),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), host+".json")
	if err := os.WriteFile(path, fields, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	process := binary.NewProcess(program, path, log)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	trial.processes[host], trial.endpoints[host] = process, endpoint
	trial.callerURLs[host], trial.ready[host] = "http://"+set.Listen.String(), "http://"+set.AdminListen.String()+"/readyz"
	t.Cleanup(func() {
		process.Kill()
		_ = log.Close()
		if t.Failed() {
			// The system's temporary folder outlives the test.
			kept := filepath.Join(os.TempDir(), fmt.Sprintf("holder-%s-%s.log", strings.ReplaceAll(t.Name(), "/", "-"), host))
			t.Logf("log of %s: %s (%v)", host, kept, os.Rename(log.Name(), kept))
		}
	})
}

func (trial *holderTrial) awaitReady(host string) {
	trial.t.Helper()
	trial.eventually("the gateway is ready", func() bool {
		ctx, cancel := context.WithTimeout(trial.t.Context(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, trial.ready[host], nil)
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// leaseRecord returns the lease of the duties.
func (trial *holderTrial) leaseRecord() lease.Record {
	trial.t.Helper()
	object, ok := trial.store.Get(strings.TrimSuffix(duty.ObjectPrefix, "/"), leader.LeaseName)
	if !ok {
		return lease.Record{}
	}
	record, err := lease.ReadRecord(object.Spec)
	if err != nil {
		trial.t.Fatal(err)
	}
	return record
}

// awaitHeld waits until the link holds a request up, and returns the holder of the duties.
func (trial *holderTrial) awaitHeld(link *holdingLink) duty.Holder {
	trial.t.Helper()
	trial.eventually("a request is held up", func() bool { return link.heldConnection() != nil })
	return trial.leaseRecord().Holder
}

// awaitNextHolder waits until another process than the former holder's holds the duties.
func (trial *holderTrial) awaitNextHolder(former duty.Holder) {
	trial.t.Helper()
	trial.eventually("another process holds the duties", func() bool {
		record := trial.leaseRecord()
		return record.Holder != former && !record.Released
	})
}

// countCalls sends calls until the test ends, so that each usage report counts some, and waits for the first such report.
func (trial *holderTrial) countCalls() {
	trial.t.Helper()
	ctx, cancel := context.WithCancel(trial.t.Context())
	var calls conc.WaitGroup
	trial.t.Cleanup(func() {
		cancel()
		calls.Wait()
	})
	for _, url := range trial.callerURLs {
		calls.Go(func() { ticker.Every(ctx, 100*time.Millisecond, func(time.Time) { trial.call(ctx, url) }) })
	}
	trial.eventually("a report counts calls", func() bool {
		reports := trial.usageReceiver.Reports()
		return len(reports) > 0 && len(reports[len(reports)-1].Counts) > 0
	})
}

// call sends a call, which may fail while its gateway is lost.
func (trial *holderTrial) call(ctx context.Context, url string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/safe/x", http.NoBody)
	if err != nil {
		trial.t.Error(err)
		return
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, "call", keyNorth, time.Second)
	if response, err := trial.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// submitTo submits a batch job to a gateway, whose answer may never come.
func (trial *holderTrial) submitTo(ctx context.Context, host, id string) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	body := platformtest.Submission(longName, 1, 1, []platformtest.Item{{ID: "item", Path: "/job/0", Group: "0"}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, trial.callerURLs[host]+"/job/"+id, strings.NewReader(body))
	if err != nil {
		trial.t.Error(err)
		return
	}
	request.Host = hostName
	platformtest.SetCallerHeaders(request, id, keyNorth, gatewayTimeout)
	if response, err := trial.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// isOpen reports whether the sender of the request that the link holds up has kept its connection.
func (l *holdingLink) isOpen() bool { return socket.IsOpen(l.heldConnection()) }
