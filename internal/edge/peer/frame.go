package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// kind says what a frame is.
type kind uint8

const (
	kindHello kind = iota + 1
	kindChallenge
	kindProof
	kindReady
	kindRequest
	kindHead
	kindData
	kindEnd
	kindFail
	kindCancel
	kindWindow
	kindHeartbeat
	kindGoAway
)

const (
	lengthSize  = 4
	frameFields = 4
	// maxHandshakeFrame bounds what a peer may make this side allocate before it proved the secret.
	maxHandshakeFrame = 1 << 10
	// frameOverhead is more than the encoded fields beside the payload take.
	frameOverhead = 64
)

// frame is the unit on the wire.
type frame struct {
	Kind kind
	// Incarnation is that of the connection, derived from both sides' nonces. A frame of any other
	// connection is refused, so an answer can't reach a request that it doesn't belong to.
	Incarnation uint64
	Stream      uint64
	Payload     []byte
}

// call is the payload of a request frame.
type call struct {
	Method Method `msgpack:"m"`
	// Remaining is the time left until the deadline; clocks of hosts are never compared. 0: no deadline.
	Remaining time.Duration      `msgpack:"r"`
	Body      msgpack.RawMessage `msgpack:"b"`
}

// closing is the payload of an end frame.
type closing struct {
	// Length and Sum cover the head, the data and Body: an answer that differs in them isn't whole.
	Length uint64             `msgpack:"l"`
	Sum    uint64             `msgpack:"s"`
	Body   msgpack.RawMessage `msgpack:"b"`
}

// appendFrame appends the encoded frame, length first.
func appendFrame(buf *bytes.Buffer, encoder *msgpack.Encoder, f frame) error {
	start := buf.Len()
	buf.Write(make([]byte, lengthSize))
	encoder.Reset(buf)
	if err := encodeFields(encoder, f); err != nil {
		return errors.Wrapf(err, "encode frame of stream %d", f.Stream)
	}
	buf.Write(f.Payload)
	length := buf.Len() - start - lengthSize
	binary.BigEndian.PutUint32(buf.Bytes()[start:], uint32(length))
	return nil
}

func encodeFields(encoder *msgpack.Encoder, f frame) error {
	if err := encoder.EncodeArrayLen(frameFields); err != nil {
		return err
	}
	if err := encoder.EncodeUint(uint64(f.Kind)); err != nil {
		return err
	}
	if err := encoder.EncodeUint(f.Incarnation); err != nil {
		return err
	}
	if err := encoder.EncodeUint(f.Stream); err != nil {
		return err
	}
	return encoder.EncodeBytesLen(len(f.Payload))
}

// frameReader reads frames from a connection.
type frameReader struct {
	source  io.Reader
	limit   int
	decoder *msgpack.Decoder
	length  [lengthSize]byte
	body    bytes.Reader
}

func newFrameReader(source io.Reader, limit int) *frameReader {
	return &frameReader{source: source, limit: limit, decoder: msgpack.NewDecoder(nil)}
}

// next returns the next frame; its payload belongs to the caller.
func (r *frameReader) next() (frame, error) {
	if _, err := io.ReadFull(r.source, r.length[:]); err != nil {
		return frame{}, errors.Wrap(err, "read frame length")
	}
	length := binary.BigEndian.Uint32(r.length[:])
	if uint64(length) > uint64(r.limit) {
		return frame{}, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", length, r.limit)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r.source, data); err != nil {
		return frame{}, errors.Wrap(err, "read frame")
	}
	return r.decode(data)
}

func (r *frameReader) decode(data []byte) (frame, error) {
	r.body.Reset(data)
	r.decoder.Reset(&r.body)
	f, size, err := decodeFields(r.decoder)
	if err != nil {
		return frame{}, errors.Wrapf(ErrProtocol, "decode frame: %v", err)
	}
	if size != r.body.Len() {
		return frame{}, errors.Wrapf(ErrProtocol, "payload of %d bytes in %d", size, r.body.Len())
	}
	f.Payload = data[len(data)-size:]
	return f, nil
}

func decodeFields(decoder *msgpack.Decoder) (frame, int, error) {
	var f frame
	fields, err := decoder.DecodeArrayLen()
	if err != nil {
		return f, 0, err
	}
	if fields != frameFields {
		return f, 0, errors.Errorf("%d fields", fields)
	}
	number, err := decoder.DecodeUint8()
	if err != nil {
		return f, 0, err
	}
	f.Kind = kind(number)
	if f.Incarnation, err = decoder.DecodeUint64(); err != nil {
		return f, 0, err
	}
	if f.Stream, err = decoder.DecodeUint64(); err != nil {
		return f, 0, err
	}
	size, err := decoder.DecodeBytesLen()
	return f, max(size, 0), err
}
