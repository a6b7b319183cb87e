package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// marshal encodes a message with numbers as short as they are. By default each 64-bit number takes nine bytes, which are most
// of a question and its answer where a host asks its relay every second: times, revisions, lengths. Both forms are read.
func marshal(message any) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buf bytes.Buffer
	encoder.Reset(&buf)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buf.Bytes(), err
}
