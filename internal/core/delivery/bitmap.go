package delivery

import (
	"bytes"
	"math/bits"
)

// Bitmap is a set of the samples of one step by their position in the step.
type Bitmap []byte

const bitsPerByte = 8

// NewBitmap returns an empty set for size samples.
func NewBitmap(size int) Bitmap {
	return make(Bitmap, (size+bitsPerByte-1)/bitsPerByte)
}

// Has says whether the position is in the set.
func (b Bitmap) Has(position int) bool {
	at := position / bitsPerByte
	return at < len(b) && b[at]&(1<<(position%bitsPerByte)) != 0
}

// Set adds the position, which is below the size.
func (b Bitmap) Set(position int) {
	b[position/bitsPerByte] |= 1 << (position % bitsPerByte)
}

// Clear removes the position, which is below the size.
func (b Bitmap) Clear(position int) {
	b[position/bitsPerByte] &^= 1 << (position % bitsPerByte)
}

// Count returns the number of positions in the set.
func (b Bitmap) Count() int {
	count := 0
	for _, value := range b {
		count += bits.OnesCount8(value)
	}
	return count
}

// Equal compares two sets of one step.
func (b Bitmap) Equal(other Bitmap) bool {
	return bytes.Equal(b, other)
}

// Clone returns a copy that shares nothing.
func (b Bitmap) Clone() Bitmap {
	return bytes.Clone(b)
}
