package peer

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// numbers has each kind of number that messages between processes have.
type numbers struct {
	Length uint64        `msgpack:"l"`
	Age    time.Duration `msgpack:"a"`
	Signed int64         `msgpack:"s"`
	Small  int           `msgpack:"i"`
	Exact  float64       `msgpack:"f"`
}

// A deployment of two versions of the program, of which one sends each number in nine bytes and the other in as few as it
// needs: both must read the same numbers, at the ends of their ranges too.
func TestNumbersInBothForms(t *testing.T) {
	for _, want := range []numbers{
		{},
		{Length: 1, Age: time.Nanosecond, Signed: 1, Small: 1, Exact: 1},
		{Length: 127, Age: -1, Signed: -33, Small: -128, Exact: 0.1},
		{Length: math.MaxUint32, Age: time.Second, Signed: math.MinInt32, Small: math.MaxInt32, Exact: -2},
		{Length: math.MaxUint64, Age: math.MaxInt64, Signed: math.MinInt64, Small: math.MinInt64, Exact: math.MaxFloat64},
	} {
		short, err := marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		long, err := msgpack.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if len(short) > len(long) {
			t.Errorf("%+v takes %d bytes, %d in the long form", want, len(short), len(long))
		}
		for _, form := range [][]byte{short, long} {
			var got numbers
			if err := msgpack.Unmarshal(form, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}
	}
}

// The budget of a relay is 15 KB/s with 58 followers that ask every second, so the parts of a message that are the same in
// all are counted: a second takes five bytes and a small length one.
func TestSmallNumbersTakeFewBytes(t *testing.T) {
	const keys, fields = 2, 5
	got, err := marshal(numbers{Length: 54, Age: time.Second, Small: 7})
	if err != nil {
		t.Fatal(err)
	}
	if want := 1 + keys*fields + 1 + 5 + 1 + 1 + 9; len(got) != want {
		t.Errorf("%d bytes, want %d", len(got), want)
	}
}
