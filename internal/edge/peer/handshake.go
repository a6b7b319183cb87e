package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"net"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// protocolVersion must change when the frame format changes. Peers with another version fail the handshake.
const protocolVersion = 1

const nonceSize = 32

// Labels distinguish the proofs of the two sides, so that a peer can't send back the proof that it received as its own.
const (
	labelServer     = "oleandershelf server"
	labelClient     = "oleandershelf client"
	labelConnection = "oleandershelf connection"
)

type hello struct {
	Version int    `msgpack:"v"`
	Nonce   []byte `msgpack:"n"`
}

type challenge struct {
	Version     int    `msgpack:"v"`
	Nonce       []byte `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	Proof       []byte `msgpack:"p"`
}

type proof struct {
	Proof []byte `msgpack:"p"`
}

// transcript is the content that both sides authenticate: both nonces, which prevent the replay of a recorded proof,
// and the incarnation of the server process.
type transcript struct {
	secret, clientNonce, serverNonce []byte
	serverIncarnation                uint64
}

// identity is the result of a handshake.
type identity struct {
	connectionID uint64
	// serverIncarnation identifies one run of the server process.
	serverIncarnation uint64
}

func (t transcript) mac(label string) []byte {
	mac := hmac.New(sha256.New, t.secret)
	mac.Write([]byte(label))
	mac.Write(t.clientNonce)
	mac.Write(t.serverNonce)
	mac.Write(binary.BigEndian.AppendUint64(nil, t.serverIncarnation))
	return mac.Sum(nil)
}

func (t transcript) identity() identity {
	return identity{connectionID: binary.BigEndian.Uint64(t.mac(labelConnection)), serverIncarnation: t.serverIncarnation}
}

// authenticatedConn is a connection whose handshake has succeeded.
type authenticatedConn struct {
	identity
	conn   *progressConn
	reader *frameReader
}

// start returns the connection for frames. It is closed when ctx ends.
func (c *authenticatedConn) start(ctx context.Context, s settings) *frameConn {
	return newFrameConn(ctx, c.conn, c.reader, c.identity, s)
}

// authenticate runs the handshake until ctx ends.
func authenticate(
	ctx context.Context, conn net.Conn, s settings, handshake func(net.Conn, *frameReader) (identity, error),
) (*authenticatedConn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// A TLS connection doesn't survive a read deadline that passes during its own handshake.
	if secured, ok := conn.(*tls.Conn); ok {
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, err
		}
	}
	progress := newProgressConn(conn, s)
	progress.handshake = true
	reader := newFrameReader(bufio.NewReaderSize(progress, readBufferSize), maxHandshakeFrame)
	id, err := handshake(progress, reader)
	// If ctx has ended, the connection is closed even if the handshake has just succeeded.
	if !stop() {
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, err
	}
	return &authenticatedConn{identity: id, conn: progress, reader: reader}, nil
}

// clientHandshake runs the dialling side of the handshake: it verifies the server's proof of the secret and sends its own.
func clientHandshake(conn net.Conn, reader *frameReader, secret []byte) (identity, error) {
	t := transcript{secret: secret, clientNonce: newNonce()}
	if err := sendHandshake(conn, kindHello, hello{Version: protocolVersion, Nonce: t.clientNonce}); err != nil {
		return identity{}, err
	}
	var serverChallenge challenge
	if err := receiveHandshake(reader, kindChallenge, &serverChallenge); err != nil {
		return identity{}, err
	}
	t.serverNonce = serverChallenge.Nonce
	t.serverIncarnation = serverChallenge.Incarnation
	if err := t.verify(serverChallenge.Version, serverChallenge.Nonce, serverChallenge.Proof, labelServer); err != nil {
		return identity{}, err
	}
	if err := sendHandshake(conn, kindProof, proof{Proof: t.mac(labelClient)}); err != nil {
		return identity{}, err
	}
	return t.identity(), receiveHandshake(reader, kindReady, &proof{})
}

// serverHandshake runs the accepting side of the handshake for a process with the given incarnation: it sends its proof of the
// secret and verifies the client's.
func serverHandshake(conn net.Conn, reader *frameReader, secret []byte, incarnation uint64) (identity, error) {
	var clientHello hello
	if err := receiveHandshake(reader, kindHello, &clientHello); err != nil {
		return identity{}, err
	}
	t := transcript{secret: secret, clientNonce: clientHello.Nonce, serverNonce: newNonce(), serverIncarnation: incarnation}
	message := challenge{Version: protocolVersion, Nonce: t.serverNonce, Incarnation: incarnation, Proof: t.mac(labelServer)}
	if err := sendHandshake(conn, kindChallenge, message); err != nil {
		return identity{}, err
	}
	var clientProof proof
	if err := receiveHandshake(reader, kindProof, &clientProof); err != nil {
		return identity{}, err
	}
	if err := t.verify(clientHello.Version, clientHello.Nonce, clientProof.Proof, labelClient); err != nil {
		return identity{}, err
	}
	return t.identity(), sendHandshake(conn, kindReady, proof{})
}

func (t transcript) verify(version int, nonce, received []byte, label string) error {
	if version != protocolVersion {
		return errors.Wrapf(ErrHandshake, "protocol version %d, not %d", version, protocolVersion)
	}
	if len(nonce) != nonceSize {
		return errors.Wrapf(ErrHandshake, "nonce of %d bytes", len(nonce))
	}
	if !hmac.Equal(received, t.mac(label)) {
		return errors.WithStack(ErrHandshake)
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	return nonce
}

func sendHandshake(conn net.Conn, k frameKind, message any) error {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	var buf bytes.Buffer
	if err := appendFrame(&buf, msgpack.NewEncoder(nil), frame{Kind: k, Payload: payload}); err != nil {
		return err
	}
	_, err = conn.Write(buf.Bytes())
	return errors.Wrap(err, "send handshake")
}

func receiveHandshake(reader *frameReader, k frameKind, message any) error {
	f, err := reader.next()
	if err != nil {
		return err
	}
	if f.Kind != k {
		return errors.Wrapf(ErrProtocol, "handshake frame of kind %d, not %d", f.Kind, k)
	}
	return errors.Wrap(msgpack.Unmarshal(f.Payload, message), "decode handshake")
}
