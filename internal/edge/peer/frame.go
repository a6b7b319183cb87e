package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	kindHello frameKind = iota + 1
	kindChallenge
	kindProof
	kindReady
	kindRequest
	kindHead
	kindData
	kindEnd
	kindRefusal
	kindCancel
	kindWindow
	kindHeartbeat
	kindGoAway
)

const (
	lengthPrefixSize = 4
	frameFieldCount  = 4
	// maxHandshakeFrame limits how many bytes an unauthenticated peer can make this side allocate.
	maxHandshakeFrame = 1 << 10
	// firstAllocation is how much is allocated for a frame before any of it has arrived, in bytes. Most frames are smaller.
	firstAllocation = 64 << 10
	// frameOverhead is an upper bound for the encoded size of all fields except the payload, in bytes.
	frameOverhead = 64
)

// frame is the unit of transmission.
type frame struct {
	Kind frameKind
	// ConnectionID is derived from the nonces of both sides. A frame of another connection is rejected, so that
	// an answer can't reach a request that it doesn't belong to.
	ConnectionID uint64
	StreamID     uint64
	Payload      []byte
}

// requestMessage is the payload of a request frame.
type requestMessage struct {
	Method Method `msgpack:"m"`
	// Remaining is the time left until the deadline, or 0 if there is none. It is relative because hosts' clocks may differ.
	Remaining time.Duration      `msgpack:"r"`
	Body      msgpack.RawMessage `msgpack:"b"`
}

// endMessage is the payload of an end frame.
type endMessage struct {
	// Length and Checksum cover the head, the data and Body. An answer that doesn't match them is incomplete or corrupt.
	Length   uint64             `msgpack:"l"`
	Checksum uint64             `msgpack:"s"`
	Body     msgpack.RawMessage `msgpack:"b"`
}

// appendFrame appends the encoded frame to buf, preceded by its length as a 32-bit integer.
func appendFrame(buf *bytes.Buffer, encoder *msgpack.Encoder, f frame) error {
	start := buf.Len()
	buf.Write(make([]byte, lengthPrefixSize))
	encoder.Reset(buf)
	if err := encodeFields(encoder, f); err != nil {
		return errors.Wrapf(err, "encode frame of stream %d", f.StreamID)
	}
	buf.Write(f.Payload)
	length := buf.Len() - start - lengthPrefixSize
	binary.BigEndian.PutUint32(buf.Bytes()[start:], uint32(length))
	return nil
}

func encodeFields(encoder *msgpack.Encoder, f frame) error {
	if err := encoder.EncodeArrayLen(frameFieldCount); err != nil {
		return err
	}
	if err := encoder.EncodeUint(uint64(f.Kind)); err != nil {
		return err
	}
	if err := encoder.EncodeUint(f.ConnectionID); err != nil {
		return err
	}
	if err := encoder.EncodeUint(f.StreamID); err != nil {
		return err
	}
	return encoder.EncodeBytesLen(len(f.Payload))
}

// frameReader reads frames from a connection.
type frameReader struct {
	source       io.Reader
	limit        int
	decoder      *msgpack.Decoder
	lengthPrefix [lengthPrefixSize]byte
	body         bytes.Reader
}

func newFrameReader(source io.Reader, limit int) *frameReader {
	return &frameReader{source: source, limit: limit, decoder: msgpack.NewDecoder(nil)}
}

// next returns the next frame. The caller may keep and modify its payload.
func (r *frameReader) next() (frame, error) {
	if _, err := io.ReadFull(r.source, r.lengthPrefix[:]); err != nil {
		return frame{}, errors.Wrap(err, "read frame length")
	}
	length := binary.BigEndian.Uint32(r.lengthPrefix[:])
	if uint64(length) > uint64(r.limit) {
		return frame{}, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", length, r.limit)
	}
	data, err := r.read(int(length))
	if err != nil {
		return frame{}, errors.Wrap(err, "read frame")
	}
	return r.decode(data)
}

// read reads the given number of bytes. Memory is allocated as they arrive: a peer that announces a large frame and doesn't send it costs
// nothing.
func (r *frameReader) read(length int) ([]byte, error) {
	data := make([]byte, min(length, firstAllocation))
	if _, err := io.ReadFull(r.source, data); err != nil {
		return nil, err
	}
	for len(data) < length {
		known := len(data)
		data = slices.Grow(data, min(length-known, known))[:min(length, 2*known)]
		if _, err := io.ReadFull(r.source, data[known:]); err != nil {
			return nil, err
		}
	}
	return data, nil
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
	if fields != frameFieldCount {
		return f, 0, errors.Errorf("%d fields", fields)
	}
	number, err := decoder.DecodeUint8()
	if err != nil {
		return f, 0, err
	}
	f.Kind = frameKind(number)
	if f.ConnectionID, err = decoder.DecodeUint64(); err != nil {
		return f, 0, err
	}
	if f.StreamID, err = decoder.DecodeUint64(); err != nil {
		return f, 0, err
	}
	size, err := decoder.DecodeBytesLen()
	return f, max(size, 0), err
}
