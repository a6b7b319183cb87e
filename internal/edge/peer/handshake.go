package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// protocolVersion changes when frames change; peers of another version fail the handshake.
const protocolVersion = 1

const nonceSize = 32

// Labels keep a proof of one side from being sent back as the proof of the other.
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
	Version int    `msgpack:"v"`
	Nonce   []byte `msgpack:"n"`
	Process uint64 `msgpack:"i"`
	Proof   []byte `msgpack:"p"`
}

type proof struct {
	Proof []byte `msgpack:"p"`
}

// transcript is what both sides sign: both nonces, so that a recorded proof is of no use again, and
// the incarnation of the serving process.
type transcript struct {
	secret, clientNonce, serverNonce []byte
	process                          uint64
}

// identity is what a handshake settles about a connection.
type identity struct {
	// incarnation is that of the connection.
	incarnation uint64
	// process is the incarnation of the serving process.
	process uint64
}

func (t transcript) sum(label string) []byte {
	mac := hmac.New(sha256.New, t.secret)
	mac.Write([]byte(label))
	mac.Write(t.clientNonce)
	mac.Write(t.serverNonce)
	mac.Write(binary.BigEndian.AppendUint64(nil, t.process))
	return mac.Sum(nil)
}

func (t transcript) identity() identity {
	return identity{incarnation: binary.BigEndian.Uint64(t.sum(labelConnection)), process: t.process}
}

// greet proves the secret as the side that dialled.
func greet(conn net.Conn, reader *frameReader, secret []byte) (identity, error) {
	t := transcript{secret: secret, clientNonce: newNonce()}
	if err := sendPayload(conn, kindHello, hello{Version: protocolVersion, Nonce: t.clientNonce}); err != nil {
		return identity{}, err
	}
	var answer challenge
	if err := receivePayload(reader, kindChallenge, &answer); err != nil {
		return identity{}, err
	}
	t.serverNonce = answer.Nonce
	t.process = answer.Process
	if err := t.check(answer.Version, answer.Nonce, answer.Proof, labelServer); err != nil {
		return identity{}, err
	}
	if err := sendPayload(conn, kindProof, proof{Proof: t.sum(labelClient)}); err != nil {
		return identity{}, err
	}
	return t.identity(), receivePayload(reader, kindReady, &proof{})
}

// accept proves the secret as the side that was dialled, a process of the given incarnation.
func accept(conn net.Conn, reader *frameReader, secret []byte, process uint64) (identity, error) {
	var opening hello
	if err := receivePayload(reader, kindHello, &opening); err != nil {
		return identity{}, err
	}
	t := transcript{secret: secret, clientNonce: opening.Nonce, serverNonce: newNonce(), process: process}
	answer := challenge{Version: protocolVersion, Nonce: t.serverNonce, Process: process, Proof: t.sum(labelServer)}
	if err := sendPayload(conn, kindChallenge, answer); err != nil {
		return identity{}, err
	}
	var reply proof
	if err := receivePayload(reader, kindProof, &reply); err != nil {
		return identity{}, err
	}
	if err := t.check(opening.Version, opening.Nonce, reply.Proof, labelClient); err != nil {
		return identity{}, err
	}
	return t.identity(), sendPayload(conn, kindReady, proof{})
}

func (t transcript) check(version int, nonce, given []byte, label string) error {
	if version != protocolVersion {
		return errors.Wrapf(ErrHandshake, "protocol version %d, not %d", version, protocolVersion)
	}
	if len(nonce) != nonceSize {
		return errors.Wrapf(ErrHandshake, "nonce of %d bytes", len(nonce))
	}
	if !hmac.Equal(given, t.sum(label)) {
		return errors.WithStack(ErrHandshake)
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	return nonce
}

func sendPayload(conn net.Conn, k kind, message any) error {
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

func receivePayload(reader *frameReader, k kind, message any) error {
	f, err := reader.next()
	if err != nil {
		return err
	}
	if f.Kind != k {
		return errors.Wrapf(ErrProtocol, "handshake frame of kind %d, not %d", f.Kind, k)
	}
	return errors.Wrap(msgpack.Unmarshal(f.Payload, message), "decode handshake")
}
