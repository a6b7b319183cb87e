package admission

import (
	"math"
	"time"
)

const (
	// keyWindow is the time constant with which the use of a key decays, and how long a key without requests is kept.
	keyWindow = 10 * time.Second
	// maxKeys bounds the number of keys of an organisation that are tracked separately.
	maxKeys = 256
	// keyReserve is the part of a bucket that a key which has used more than its equal share must leave to the others.
	keyReserve = 0.5
)

// keyRecord holds the decayed cost admitted for a key, and when the key last sent a request.
type keyRecord struct {
	admitted    float64
	lastRequest time.Time
}

// keyUsage tracks how much each key of an organisation has used recently, so that one key can't use up its
// organisation's limit and have the callers with other keys refused. A key is counted from its first request, even
// if none was admitted, so that a key that gets nothing isn't forgotten.
type keyUsage struct {
	keys    map[string]*keyRecord
	total   float64
	decayed time.Time
}

// decay lets earlier use count less and drops the keys without recent requests.
func (k *keyUsage) decay(now time.Time) {
	elapsed := now.Sub(k.decayed)
	if elapsed < keyWindow/10 {
		return
	}
	k.decayed = now
	factor := math.Exp(-elapsed.Seconds() / keyWindow.Seconds())
	k.total = 0
	for key, record := range k.keys {
		if now.Sub(record.lastRequest) > keyWindow {
			delete(k.keys, key)
			continue
		}
		record.admitted *= factor
		k.total += record.admitted
	}
}

// reserve returns how many tokens of a bucket the key must leave to the others.
func (k *keyUsage) reserve(now time.Time, key string, burst float64) float64 {
	k.decay(now)
	own := k.keys[key]
	if len(k.keys) < 2 || own == nil || own.admitted*float64(len(k.keys)) <= k.total {
		return 0
	}
	return burst * keyReserve
}

// record counts a request of the key and the cost admitted for it, 0 while it isn't admitted.
func (k *keyUsage) record(now time.Time, key string, cost float64) {
	if k.keys == nil {
		k.keys = map[string]*keyRecord{}
	}
	own, known := k.keys[key]
	if !known {
		if len(k.keys) >= maxKeys {
			return
		}
		own = &keyRecord{}
		k.keys[key] = own
	}
	own.lastRequest = now
	own.admitted += cost
	k.total += cost
}
