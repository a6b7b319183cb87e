package delivery

import (
	"bytes"
	"math/bits"
)

// Bitmap is a set of samples of one step, represented by their positions in the step.
type Bitmap []byte

const bitsPerByte = 8

// NewBitmap returns an empty set with room for size samples.
func NewBitmap(size int) Bitmap {
	return make(Bitmap, (size+bitsPerByte-1)/bitsPerByte)
}

// Has reports whether the position is in the set.
func (b Bitmap) Has(position int) bool {
	index := position / bitsPerByte
	return index < len(b) && b[index]&(1<<(position%bitsPerByte)) != 0
}

// Set adds the position, which must be below the size of the set.
func (b Bitmap) Set(position int) {
	b[position/bitsPerByte] |= 1 << (position % bitsPerByte)
}

// Clear removes the position, which must be below the size of the set.
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

// Equal reports whether two sets of the same step have the same members.
func (b Bitmap) Equal(other Bitmap) bool {
	return bytes.Equal(b, other)
}

// Clone returns an independent copy.
func (b Bitmap) Clone() Bitmap {
	return bytes.Clone(b)
}
