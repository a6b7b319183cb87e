// Package billing stores usage counts at the platform and closes usage windows.
//
// A Collector stores the counts of its host in objects that several hosts may write. Counts are merged by
// maximum, so a conflict, a lost response or a retry changes no sum. A Closer, which writes only while it
// holds the lease of the usage duty, freezes the report of each organisation for a window in one object, and
// sends the bytes of that object until the platform acknowledges them.
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
	// ProgressName is the object that records which windows are closed.
	ProgressName = "usage/progress"
)

// DefaultWindow is the length of a usage window.
const DefaultWindow = time.Hour

// Bounds of all windows: the year 1 and the year 9999, the last whose name sorts by time.
const (
	minWindow = -62135596800
	maxWindow = 253402300799
)

// windowLayout makes names that sort by time and need no escaping.
const windowLayout = "20060102T150405Z"

// Progress records that all windows up to and including Through, a window start in Unix seconds, are
// reported.
type Progress struct {
	Through int64 `json:"through"`
}

// ClosingWindow lists the organisations that get a report for a window. It is written before the first of
// these reports is frozen and never changes, so that no organisation is added to the window while a later
// window is computed.
type ClosingWindow struct {
	Organisations []string `json:"organisations"`
}

// FrozenReport is the report of one organisation for one window, with the exact bytes to send, and the usage
// of each window that it accounts for.
type FrozenReport struct {
	Report json.RawMessage `json:"report"`
	Shares []usage.Share   `json:"shares"`
}

func windowName(window int64) string {
	return time.Unix(window, 0).UTC().Format(windowLayout)
}

func countsName(zone, writer string, key shardKey, kind countsKind) string {
	return CountsPrefix + zone + "/" + writer + "/" + strconv.Itoa(key.shard) + "/" + string(kind) + "/" + windowName(key.window)
}

func closingName(window int64) string {
	return ClosingPrefix + windowName(window)
}

func frozenPrefix(window int64) string {
	return FrozenPrefix + windowName(window) + "/"
}

// ReportName returns the name under which the report of an organisation for a window is sent.
func ReportName(window int64, organisation string) string {
	return windowName(window) + "/" + organisation
}

// decode parses the JSON value of an object; its errors contain the name of the object.
func decode[T any](object platform.Object) (T, error) {
	var value T
	err := json.Unmarshal(object.Value, &value)
	return value, errors.Wrap(err, object.Name)
}
