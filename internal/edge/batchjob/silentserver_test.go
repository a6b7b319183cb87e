package batchjob

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// relay passes connections on to a server. Those that are interrupted stay open, and nothing arrives at either side any more.
type relay struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	interrupted chan struct{}
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, target: target.String(), interrupted: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *relay) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// interrupt stops delivery on all open connections; later ones work.
func (r *relay) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.interrupted)
	r.interrupted = make(chan struct{})
}

func (r *relay) serve(client net.Conn) {
	r.mu.Lock()
	interrupted := r.interrupted
	r.mu.Unlock()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	ended := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(dropper{ends[1], interrupted}, ends[0])
			ended <- struct{}{}
		}()
	}
	<-ended
	_ = client.Close()
	_ = server.Close()
}

// dropper drops what is written once its connection is interrupted.
type dropper struct {
	net.Conn

	interrupted <-chan struct{}
}

func (s dropper) Write(data []byte) (int, error) {
	select {
	case <-s.interrupted:
		return len(data), nil
	default:
		return s.Conn.Write(data)
	}
}

// newPoolManager returns the manager of an entry with servers of equal speed.
func newPoolManager(ctx context.Context, servers ...backend.Server) *Manager {
	balancer := backend.NewBalancer("self", "north-a")
	for i := range servers {
		servers[i].Pool, servers[i].AvailabilityZone, servers[i].Models = "p", "north-a", map[string]int{"m": 1}
	}
	balancer.Sync(time.Now(), servers)
	return NewManager(ctx, Deps{
		Store:    newMemoryStore().client(),
		Balancer: balancer,
		Servers:  exchange.NewClient(exchange.WithDialTimeout(300 * time.Millisecond)),
		Peers:    peer.NewClient(ctx, []byte(testSecret)),
		Members:  fakeMembers{self: "self"},
		Outage:   func(time.Time) bool { return false },
		Demand:   func() batch.Demand { return batch.Demand{} },
		Metrics:  NewMetrics(prometheus.NewRegistry()),
		Log:      zerolog.Nop(),
	}, peer.NewRegistry())
}

// Guards against an item that is at no server for over five seconds because its runs take idle connections, to one server after another, that
// have gone silent.
func TestItemLeavesSilentConnectionsBehind(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	var relays []*relay
	var servers []*platformtest.Server
	var registered []backend.Server
	for _, id := range []string{"s1", "s2", "s3"} {
		server := platformtest.NewServer(t, id, "p", map[string]int{"m": 1})
		server.SetStream(3, 20*time.Millisecond)
		r := newRelay(t, server.Address())
		servers, relays = append(servers, server), append(relays, r)
		registered = append(registered, backend.Server{ID: id, Address: r.address(), Slots: 2})
	}
	m := newPoolManager(ctx, registered...)
	defer m.Wait()
	defer cancel()
	warm := newPlacedJob("warm", "a", "b", "c", "d", "e", "f")
	m.startJob(warm)
	waitFor(t, "the first job is complete", warm.finished)
	for _, r := range relays {
		r.interrupt()
	}
	start := time.Now()
	j := newPlacedJob("j", "x")
	m.startJob(j)
	arrived := func() bool {
		for _, server := range servers {
			if startedWithin(server, "x", time.Millisecond) {
				return true
			}
		}
		return false
	}
	waitFor(t, "the item arrives at a server", arrived)
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("the item was at no server for %v", took)
	}
}

// newHangingServer returns the address of a server that sends no answers.
func newHangingServer(t *testing.T, id string) netip.AddrPort {
	t.Helper()
	server := platformtest.NewServer(t, id, "p", map[string]int{"m": 1})
	server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Hang })
	return server.Address()
}

// Guards against an item that goes from one silent server to the next, and to the first again, while another one answers: none of them runs it.
func TestItemGoesFromASilentServerToOneThatAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent func(t *testing.T, id string) netip.AddrPort
		count  int
		uneven bool
		// idle is set if the sound server runs nothing, so that it isn't known to answer.
		idle bool
	}{
		{name: "no answers, equal speed", silent: newHangingServer, count: 3},
		{name: "no answers, uneven speed", silent: newHangingServer, count: 3, uneven: true},
		{name: "no answers, equal speed, idle pool", silent: newHangingServer, count: 2, idle: true},
		{name: "no answers, uneven speed, idle pool", silent: newHangingServer, count: 2, uneven: true, idle: true},
		{name: "no connections, equal speed", silent: newUnreachableAddress, count: 6},
		{name: "no connections, uneven speed", silent: newUnreachableAddress, count: 6, uneven: true},
		{name: "no connections, equal speed, idle pool", silent: newUnreachableAddress, count: 6, idle: true},
		{name: "no connections, uneven speed, idle pool", silent: newUnreachableAddress, count: 6, uneven: true, idle: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			sound := platformtest.NewServer(t, "sound", "p", map[string]int{"m": 1})
			sound.SetStream(1000, 50*time.Millisecond)
			registered := []backend.Server{{ID: "sound", Address: sound.Address(), Slots: 12}}
			for i := range test.count {
				id := fmt.Sprintf("silent-%d", i)
				registered = append(registered, backend.Server{ID: id, Address: test.silent(t, id), Slots: 12})
			}
			m := newPoolManager(ctx, registered...)
			defer m.Wait()
			defer cancel()
			// Other items keep the sound server busier than the silent ones.
			others := newPlacedJob("others", "a", "b", "c")
			for _, item := range []string{"a", "b", "c"} {
				if test.idle {
					break
				}
				others.mu.Lock()
				server, ok := m.balancer.AcquireServer(time.Now(), others.requirements(), "sound")
				if !ok {
					t.Fatal("no slot at the sound server")
				}
				r := m.newRunLocked(others, others.progress.Item(item), server)
				others.mu.Unlock()
				others.wg.Go(func() { m.runItem(ctx, r) })
			}
			defer others.wg.Wait()
			defer cancel()
			waitFor(t, "the sound server is known to answer", func() bool { return test.idle || others.produced("a") > 20 })
			start := time.Now()
			j := newPlacedJob("j", "x")
			if test.uneven {
				defer j.wg.Wait()
				defer cancel()
				runPlaced(ctx, m, j)
			} else {
				m.startJob(j)
			}
			waitFor(t, "the item arrives at the sound server", func() bool { return startedWithin(sound, "x", time.Millisecond) })
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("the item was at no server for %v", took)
			}
		})
	}
}

// runPlaced runs the job's items as in a pool whose servers differ in speed.
func runPlaced(ctx context.Context, m *Manager, j *job) {
	j.wg.Go(func() {
		var placer placer
		for ctx.Err() == nil && !j.finished() {
			m.placeItems(ctx, j, &placer)
			time.Sleep(checkInterval)
		}
	})
}

// newUnreachableAddress returns an address at which connections are neither accepted nor refused: the backlog of its listener is full.
func newUnreachableAddress(t *testing.T, _ string) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*unix.SockaddrInet4).Port))
	for range 4 {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the backlog doesn't fill")
	return netip.AddrPort{}
}

// Guards against an item that doesn't complete at slow servers because each of its runs has the shorter timeout for the first event.
func TestItemCompletesAtASlowServerAfterSilentOnes(t *testing.T) {
	for name, silent := range map[string]func(t *testing.T, id string) netip.AddrPort{"no answers": newHangingServer, "no connections": newUnreachableAddress} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			slow := platformtest.NewServer(t, "slow", "p", map[string]int{"m": 1})
			slow.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour {
				time.Sleep(retryStallTimeout + 200*time.Millisecond)
				return platformtest.Answer
			})
			m := newPoolManager(ctx, backend.Server{ID: "silent", Address: silent(t, "silent"), Slots: 2},
				backend.Server{ID: "slow", Address: slow.Address(), Slots: 2})
			defer m.Wait()
			defer cancel()
			j := newPlacedJob("j", "x")
			m.startJob(j)
			waitFor(t, "the job is complete", j.finished)
		})
	}
}
