package peer

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a peer that announces large frames without sending them, and thereby takes memory.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	var announced [lengthPrefixSize]byte
	binary.BigEndian.PutUint32(announced[:], defaultMaxFrame)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := newFrameReader(bytes.NewReader(announced[:]), defaultMaxFrame).next(); err == nil {
		t.Error("no error")
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 1<<20 {
		t.Errorf("%d KiB allocated", allocated>>10)
	}
}

func TestFramesOfAllSizesAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstAllocation - frameOverhead, firstAllocation, 3*firstAllocation + 7, defaultMaxFrame - frameOverhead} {
		payload := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		var buffer bytes.Buffer
		if err := appendFrame(&buffer, msgpack.NewEncoder(nil), frame{Kind: kindData, ConnectionID: 1, StreamID: 2, Payload: payload}); err != nil {
			t.Fatal(err)
		}
		got, err := newFrameReader(&buffer, defaultMaxFrame).next()
		if err != nil || !bytes.Equal(got.Payload, payload) {
			t.Errorf("size %d: %d bytes, %v", size, len(got.Payload), err)
		}
	}
}
