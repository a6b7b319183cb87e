package callerconn

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// maxLingerTime and maxLingerBytes bound how much of a refused request is still read. A caller that continues to send for longer than
	// two seconds, or sends more than 64 MiB, has its connection closed.
	maxLingerTime  = 2 * time.Second
	maxLingerBytes = 64 << 20
)

const (
	// acceptPause is how long accepting pauses after an error, such as a lack of descriptors.
	acceptPause = 20 * time.Millisecond
	// acceptLogInterval is how often such errors are logged.
	acceptLogInterval = 10 * time.Second
)

// Listener accepts callers' connections into an account. It accepts until it is closed, whatever errors occur.
type Listener struct {
	net.Listener
	account *Account
	log     zerolog.Logger
	logged  time.Time
	errors  int
}

// NewListener returns a listener for the account's callers.
func NewListener(l net.Listener, account *Account, log zerolog.Logger) *Listener {
	return &Listener{Listener: l, account: account, log: log}
}

// Accept returns the next connection that the account admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			// The HTTP library would take the error for the end of the listener.
			l.logError(err)
			<-time.After(acceptPause)
			continue
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil, errors.Errorf("connection from %s is %T, not TCP", conn.RemoteAddr(), conn)
		}
		if admitted := l.account.add(tcp); admitted != nil {
			return admitted, nil
		}
		// Nothing was read, so the caller knows that nothing ran.
		_ = tcp.Close()
	}
}

func (l *Listener) logError(err error) {
	l.errors++
	if now := time.Now(); now.Sub(l.logged) >= acceptLogInterval {
		l.log.Error().Err(err).Int("errors", l.errors).Msg("cannot accept callers' connections")
		l.logged, l.errors = now, 0
	}
}
