package admission

import (
	"math"
	"time"
)

const (
	// keyTime is how long the use of a key counts, and how long a key that asks is remembered.
	keyTime = 10 * time.Second
	// keysKept bounds the keys of an organisation that are told apart.
	keysKept = 256
	// keyReserve is the part of a bucket that a key above its equal part leaves to the others.
	keyReserve = 0.5
)

// use is what a key used of late and when it asked last.
type use struct {
	amount float64
	asked  time.Time
}

// keyUse is how much the keys of an organisation used of late. It guards against one key that uses up
// its organisation's limit: the other keys' callers would be refused without having done anything.
// A key counts by asking, so that one that gets nothing isn't forgotten for it.
type keyUse struct {
	used  map[string]*use
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
	for key, u := range k.used {
		if now.Sub(u.asked) > keyTime {
			delete(k.used, key)
			continue
		}
		u.amount *= factor
		k.total += u.amount
	}
}

// reserve is how much of a bucket the key leaves to the others.
func (k *keyUse) reserve(now time.Time, key string, burst float64) float64 {
	k.fade(now)
	own := k.used[key]
	if len(k.used) < 2 || own == nil || own.amount*float64(len(k.used)) <= k.total {
		return 0
	}
	return burst * keyReserve
}

// ask counts a key that asks, and the cost that was admitted for it.
func (k *keyUse) ask(now time.Time, key string, cost float64) {
	if k.used == nil {
		k.used = map[string]*use{}
	}
	own, known := k.used[key]
	if !known {
		if len(k.used) >= keysKept {
			return
		}
		own = &use{}
		k.used[key] = own
	}
	own.asked = now
	own.amount += cost
	k.total += cost
}
