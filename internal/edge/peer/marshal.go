package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// marshal encodes a message with integers in their shortest form. By default msgpack encodes each 64-bit integer in nine bytes.
// These would be most of the request and the answer when a host polls its relay every second: times, revisions and lengths.
// The decoder accepts both forms.
func marshal(message any) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buf bytes.Buffer
	encoder.Reset(&buf)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buf.Bytes(), err
}
