package batchjob

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// relay passes connections on to a server. Those that are severed stay open, and nothing arrives at either side any more.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	severed  chan struct{}
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, target: target.String(), severed: make(chan struct{})}
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

// sever makes all open connections go silent; later ones work.
func (r *relay) sever() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.severed)
	r.severed = make(chan struct{})
}

func (r *relay) serve(client net.Conn) {
	r.mu.Lock()
	severed := r.severed
	r.mu.Unlock()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	ended := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(silencer{ends[1], severed}, ends[0])
			ended <- struct{}{}
		}()
	}
	<-ended
	_ = client.Close()
	_ = server.Close()
}

// silencer drops what is written once its connection is severed.
type silencer struct {
	net.Conn

	severed <-chan struct{}
}

func (s silencer) Write(data []byte) (int, error) {
	select {
	case <-s.severed:
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
		r.sever()
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

// Guards against an item that goes from one silent server to the next while another one answers: none of them runs it.
func TestItemAvoidsASecondSilentServer(t *testing.T) {
	t.Parallel()
	for name, uneven := range map[string]bool{"servers of equal speed": false, "servers of uneven speed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			var servers []*platformtest.Server
			var registered []backend.Server
			for _, id := range []string{"s1", "s2", "s3", "s4"} {
				server := platformtest.NewServer(t, id, "p", map[string]int{"m": 1})
				server.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Hang })
				servers = append(servers, server)
				registered = append(registered, backend.Server{ID: id, Address: server.Address(), Slots: 12})
			}
			sound := servers[3]
			sound.SetBehaviour(func(int, platformtest.Request) platformtest.Behaviour { return platformtest.Answer })
			sound.SetStream(1000, 50*time.Millisecond)
			m := newPoolManager(ctx, registered...)
			defer m.Wait()
			defer cancel()
			// Other items keep the sound server busier than the silent ones.
			others := newPlacedJob("others", "a", "b", "c")
			for _, item := range []string{"a", "b", "c"} {
				others.mu.Lock()
				server, ok := m.balancer.AcquireServer(time.Now(), others.requirements(), "s4")
				if !ok {
					t.Fatal("no slot at the sound server")
				}
				r := m.newRunLocked(others, others.progress.Item(item), server)
				others.mu.Unlock()
				others.wg.Go(func() { m.runItem(ctx, r) })
			}
			defer others.wg.Wait()
			defer cancel()
			waitFor(t, "the sound server is known to answer", func() bool { return others.produced("a") > 20 })
			start := time.Now()
			j := newPlacedJob("j", "x")
			if uneven {
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
