package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/socket"
)

// Guards against requests that are sent on a connection that went silent for good, as long as this process is busy: callers wait for
// entries that are alive, and changes that their heartbeats announce are not fetched.
func TestSilentConnectionIsReplacedInABusyProcess(t *testing.T) {
	const timeout = 300 * time.Millisecond
	l, address := listen(t)
	peers := &testPeers{handlerStarted: make(chan struct{}, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	options := []Option{WithHeartbeat(20*time.Millisecond, timeout)}
	server := NewServer(ctx, l, peers.newRegistry(), testSecret, options...)
	client := newTestClient(t, testSecret, append(options, func(s *settings) { s.busy = func() bool { return true } })...)
	defer func() { cancel(); _ = server.Close() }()
	p, through := newProxy(t, address, func(f frame) []frame { return []frame{f} })
	echo := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := Call[text, text](ctx, client, through, methodEcho, text{Text: "x"})
		return err
	}
	if err := echo(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	p.silence()
	silentSince := time.Now()
	for echo(timeout/3) != nil {
		if time.Since(silentSince) > 3*timeout {
			t.Fatalf("requests are sent on the silent connection %v after its timeout", time.Since(silentSince)-timeout)
		}
	}
}

// Guards against connections that are replaced because a busy process has not read what has arrived.
func TestConnectionWithUnreadDataIsKept(t *testing.T) {
	l, address := listen(t)
	defer func() { _ = l.Close() }()
	remote, local := dialPair(t, l, address)
	conn := newProgressConn(local, defaultSettings())
	late := time.Now().Add(2 * defaultHeartbeatTimeout)
	if !conn.isSilent(late) {
		t.Error("a connection on which nothing arrives isn't silent")
	}
	_, err := remote.Write([]byte("heartbeat"))
	if err != nil {
		t.Fatal(err)
	}
	for unread := false; !unread; time.Sleep(time.Millisecond) {
		if unread, err = socket.HasUnread(local); err != nil {
			t.Fatal(err)
		}
	}
	if conn.isSilent(late) {
		t.Error("a connection with unread data is silent")
	}
}

// dialPair returns both ends of a new connection to the listener.
func dialPair(t *testing.T, l net.Listener, address netip.AddrPort) (remote, local net.Conn) {
	t.Helper()
	remote, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = remote.Close() })
	if local, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = local.Close() })
	return remote, local
}
