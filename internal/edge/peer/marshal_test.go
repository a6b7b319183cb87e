package peer

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// numbers has a field for each type of number that occurs in messages.
type numbers struct {
	Length uint64        `msgpack:"l"`
	Age    time.Duration `msgpack:"a"`
	Signed int64         `msgpack:"s"`
	Small  int           `msgpack:"i"`
	Exact  float64       `msgpack:"f"`
}

// Guards against processes of different versions that misread each other's numbers, in particular the limits of a type. One
// version encodes each 64-bit integer in nine bytes, the other in as few as possible.
func TestBothIntegerEncodingsAreRead(t *testing.T) {
	for _, want := range []numbers{
		{},
		{Length: 1, Age: time.Nanosecond, Signed: 1, Small: 1, Exact: 1},
		{Length: 127, Age: -1, Signed: -33, Small: -128, Exact: 0.1},
		{Length: math.MaxUint32, Age: time.Second, Signed: math.MinInt32, Small: math.MaxInt32, Exact: -2},
		{Length: math.MaxUint64, Age: math.MaxInt64, Signed: math.MinInt64, Small: math.MinInt64, Exact: math.MaxFloat64},
	} {
		compact, err := marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		fixed, err := msgpack.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if len(compact) > len(fixed) {
			t.Errorf("%+v takes %d bytes in the compact form, %d in the fixed-size form", want, len(compact), len(fixed))
		}
		for _, encoded := range [][]byte{compact, fixed} {
			var got numbers
			if err := msgpack.Unmarshal(encoded, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
	}
}

// Guards against messages that exceed the bandwidth limit of a relay: 15 KB/s with 58 followers that poll it every second. A
// duration of a second must take five bytes, and a small length one.
func TestSmallIntegersTakeFewBytes(t *testing.T) {
	const keys, fields = 2, 5
	got, err := marshal(numbers{Length: 54, Age: time.Second, Small: 7})
	if err != nil {
		t.Fatal(err)
	}
	if want := 1 + keys*fields + 1 + 5 + 1 + 1 + 9; len(got) != want {
		t.Errorf("%d bytes, want %d", len(got), want)
	}
}
