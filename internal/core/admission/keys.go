package admission

import (
	"math"
	"time"
)

const (
	// keyTime is how long the use of a key counts.
	keyTime = 10 * time.Second
	// leastUse is the use below which a key is forgotten.
	leastUse = 0.01
	// keysKept bounds the keys of an organisation that are told apart.
	keysKept = 256
	// keyReserve is the part of a bucket that a key above its equal part leaves to the others.
	keyReserve = 0.5
)

// keyUse is how much the keys of an organisation used of late. It guards against one key that uses up
// its organisation's limit: the other keys' callers would be refused without having done anything.
type keyUse struct {
	used  map[string]float64
	total float64
	at    time.Time
}

// fade lets earlier use count less.
func (k *keyUse) fade(now time.Time) {
	elapsed := now.Sub(k.at)
	if elapsed < keyTime/10 {
		return
	}
	k.at = now
	factor := math.Exp(-elapsed.Seconds() / keyTime.Seconds())
	k.total = 0
	for key, used := range k.used {
		if used*factor < leastUse {
			delete(k.used, key)
			continue
		}
		k.used[key] = used * factor
		k.total += used * factor
	}
}

// reserve is how much of a bucket the key leaves to the others.
func (k *keyUse) reserve(now time.Time, key string, burst float64) float64 {
	k.fade(now)
	if len(k.used) < 2 || k.used[key]*float64(len(k.used)) <= k.total {
		return 0
	}
	return burst * keyReserve
}

// ask counts a request that was admitted, or the asking of one refused with cost 0, so that a
// key that is refused counts as one that shares.
func (k *keyUse) ask(key string, cost float64) {
	if k.used == nil {
		k.used = map[string]float64{}
	}
	if _, known := k.used[key]; !known && len(k.used) >= keysKept {
		return
	}
	k.used[key] += cost
	k.total += cost
}
