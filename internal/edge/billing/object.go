// Package billing brings usage counts to the platform and closes usage windows.
//
// A Collector stores the counts of its host in objects that several hosts write. Counts merge by
// maximum, so a conflict, a lost answer or a repeat changes no sum. A Closer, under the lease of
// the duty, freezes the figures of a window in one object for each organisation and reports the
// bytes of that object until the platform has acknowledged them.
package billing

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Names of the objects.
const (
	// CountsPrefix is followed by availability zone, writer, shard, kind and window.
	CountsPrefix = "usage/counts/"
	// ClosingPrefix is followed by the window.
	ClosingPrefix = "usage/closing/"
	// FrozenPrefix is followed by window and organisation.
	FrozenPrefix = "usage/frozen/"
	// ProgressName is the object that says which windows are closed.
	ProgressName = "usage/progress"
)

// DefaultWindow is the length of a usage window.
const DefaultWindow = time.Hour

// Bounds of all windows: the year 1 and the year 9999, the last whose name sorts by time.
const (
	minWindow = -62135596800
	maxWindow = 253402300799
)

// windowLayout sorts by time and needs no escaping.
const windowLayout = "20060102T150405Z"

// Progress says that all windows up to Through, a start in Unix seconds, are reported.
type Progress struct {
	Through int64 `json:"through"`
}

// Closing lists the organisations that are reported for a window. It is written before the first
// of them is frozen and never changed, so that nobody adds one while a later window is computed.
type Closing struct {
	Organisations []string `json:"organisations"`
}

// Frozen is the report of one organisation and window as it is sent, and what it accounts for.
type Frozen struct {
	Report json.RawMessage `json:"report"`
	Shares []usage.Share   `json:"shares"`
}

func windowName(window int64) string {
	return time.Unix(window, 0).UTC().Format(windowLayout)
}

func countsName(zone, writer string, key part, kind countsKind) string {
	return CountsPrefix + zone + "/" + writer + "/" + strconv.Itoa(key.shard) + "/" + string(kind) + "/" + windowName(key.window)
}

func closingName(window int64) string {
	return ClosingPrefix + windowName(window)
}

func frozenPrefix(window int64) string {
	return FrozenPrefix + windowName(window) + "/"
}

// ReportName is the name under which a window's report is sent.
func ReportName(window int64, organisation string) string {
	return windowName(window) + "/" + organisation
}

// decode reads the value of an object.
func decode[T any](object platform.Object) (T, error) {
	var value T
	err := json.Unmarshal(object.Value, &value)
	return value, errors.Wrap(err, object.Name)
}
