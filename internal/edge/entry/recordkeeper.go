package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// maxRecordedBody is the longest answer body that is stored for repeats. A repeat of a call with a longer one is
	// told that the call may have run.
	maxRecordedBody      = 256 << 10
	recordWriteAttempts  = 5
	recordRetryInterval  = 200 * time.Millisecond
	recordTimeout        = 5 * time.Second
	inProgressRetryAfter = time.Second
	// outcomeGrace is how long after the deadline of a call its outcome may still be stored: the time to settle after
	// the deadline, the time to write the outcome, and some seconds of clock difference between two hosts.
	outcomeGrace = settleTimeoutAfterDeadline + recordTimeout + 5*time.Second
)

// record is the object stored for one idempotency key.
type record struct {
	// Digest is the hash of pool, method, path, query and body. Another call with the same key is refused.
	Digest string `json:"digest"`
	// Writer identifies the attempt that created the record, to find out after a lost answer whether its write took
	// effect.
	Writer string          `json:"writer"`
	Answer *bufferedAnswer `json:"answer,omitempty"`
	// InDoubt says that the call may have run and that no answer will come.
	InDoubt bool      `json:"inDoubt,omitempty"`
	Created time.Time `json:"created"`
	// Deadline is when the entry gives up the call; records of older versions have none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// abandoned reports whether no answer will be stored any more.
//
// If the entry of a call dies, its record stays without an outcome. Without this check repeats would be told for half
// an hour, the longest deadline, that the call is running. The refusals before and after both say that the call may
// have run, so that neither is false if a clock is wrong, and no repeat runs.
func (r record) abandoned(now time.Time) bool {
	if r.Deadline.IsZero() {
		return now.Sub(r.Created) > MaxRequestTimeout
	}
	return now.Sub(r.Deadline) > outcomeGrace
}

// deduplicator runs a call once per idempotency key across all entries.
//
// It guards against a caller that repeats a call that isn't idempotent at another entry, during or after the first
// run. The record is created in the platform before the run, and only one creation succeeds. If the platform can't be
// reached, the call is refused as not run.
//
// A record whose entry died stays without an outcome. Its repeats are told that the call is running and, once it can't
// be running any more, that it may have run.
type deduplicator struct {
	store    platform.Store
	config   Config
	attempts atomic.Uint64
	// background runs work that outlives its request; the end of the process waits for it.
	background func(work func())
}

func newDeduplicator(store platform.Store, config Config, background func(work func())) *deduplicator {
	return &deduplicator{store: store, config: config, background: background}
}

func (d *deduplicator) runOnce(ctx context.Context, c call, message request.Execute, key string, run func() (bufferedAnswer, error)) (bufferedAnswer, error) {
	name := recordName(c, key)
	own := record{
		Digest:  messageDigest(c.pool.Name, message),
		Writer:  fmt.Sprintf("%s-%016x-%d", d.config.HostID, d.config.Incarnation, d.attempts.Add(1)),
		Created: time.Now().UTC(),
	}
	own.Deadline, _ = ctx.Deadline()
	version, err := d.create(ctx, name, own)
	if errors.Is(err, platform.ErrConflict) {
		return d.answerRepeat(ctx, name, own)
	}
	if err != nil {
		if !errors.Is(err, platform.ErrUnavailable) {
			d.background(func() { d.deleteUnconfirmed(ctx, name, own) })
		}
		return bufferedAnswer{}, platformRefusal(err)
	}
	answer, err := run()
	d.saveWithinDeadline(ctx, func() { d.saveOutcome(ctx, name, own, version, answer, err) })
	return answer, err
}

// saveWithinDeadline runs save, and returns once it has ended or the caller's deadline has passed by
// settleTimeoutAfterDeadline.
//
// If the platform hangs while the outcome is written, the caller is answered and doesn't wait for the platform; the
// write continues in the background.
func (d *deduplicator) saveWithinDeadline(ctx context.Context, save func()) {
	done := make(chan struct{})
	d.background(func() {
		defer close(done)
		save()
	})
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	// A platform that responds stores the outcome within this time, so that an immediate repeat gets it.
	timer := time.NewTimer(settleTimeoutAfterDeadline)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// deleteUnconfirmed deletes a record whose creation wasn't confirmed, in case it was created.
//
// The call was refused as not run. Its record would tell each repeat until the deadline that the call is running, and
// for a day after that it may have run. Only the record of this attempt is deleted, and nothing runs under it. Lookups
// are repeated for recordTimeout, since the write may take effect after the first one; if it takes effect later still,
// the record stays.
func (d *deduplicator) deleteUnconfirmed(ctx context.Context, name string, own record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	for {
		object, err := d.store.Get(ctx, name)
		if err == nil && !own.matches(object) {
			return
		}
		if err == nil && d.store.Delete(ctx, name, object.Version) == nil {
			return
		}
		if !ticker.Sleep(ctx, recordRetryInterval) {
			return
		}
	}
}

// matches reports whether the object is a record that the same attempt created.
func (r record) matches(object platform.Object) bool {
	var stored record
	return json.Unmarshal(object.Value, &stored) == nil && stored.Writer == r.Writer
}

func recordName(c call, key string) string {
	sum := sha256.Sum256([]byte(c.pool.Name + "\x00" + key))
	return recordPrefix(int(sum[0])) + c.organisation + "/" + hex.EncodeToString(sum[:])
}

func messageDigest(pool string, message request.Execute) string {
	sum := sha256.New()
	for _, part := range []string{pool, message.Method, message.Path, message.Query} {
		// Writes to a hash never fail.
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(message.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// create stores the record if there is none. If the answer is lost, it reads the record to find out who created it.
func (d *deduplicator) create(ctx context.Context, name string, own record) (platform.Version, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	version, err := d.store.Put(ctx, name, value, 0)
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) {
		return version, err
	}
	object, readErr := d.readBack(ctx, name)
	if readErr != nil {
		return 0, err
	}
	if own.matches(object) {
		return object.Version, nil
	}
	return 0, platform.ErrConflict
}

// readBack reads a record after a lost answer, with retries for recordTimeout.
//
// The connection that lost the answer to the write often loses the read as well. Without retries the call would be
// refused as not run, but its record would stay, and every repeat would be refused with MayHaveRun.
func (d *deduplicator) readBack(ctx context.Context, name string) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		object, err := d.store.Get(ctx, name)
		if err == nil || errors.Is(err, platform.ErrNotFound) || !ticker.Sleep(ctx, recordRetryInterval) {
			return object, err
		}
	}
}

func platformRefusal(err error) error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable, unavailableRetryAfter,
		"the record for the idempotency key can't be written: %v", err)
}

// answerRepeat answers a call whose idempotency key already has a record.
func (d *deduplicator) answerRepeat(ctx context.Context, name string, own record) (bufferedAnswer, error) {
	object, err := d.store.Get(ctx, name)
	if err != nil {
		// This repeat hasn't run, but the first call may have.
		return bufferedAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonPlatformUnavailable, unavailableRetryAfter,
			"a call with this idempotency key was made before, and its record can't be read")
	}
	var stored record
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return bufferedAnswer{}, errors.Wrapf(err, "record %s", name)
	}
	switch {
	case stored.Digest != own.Digest:
		return bufferedAnswer{}, verdict.Refuse(verdict.NotRun, verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another call")
	case stored.Answer != nil:
		return *stored.Answer, nil
	case stored.InDoubt || stored.abandoned(time.Now()):
		return bufferedAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerLost, 0,
			"the first call with this idempotency key may have run; its answer was lost")
	default:
		return bufferedAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInProgress, inProgressRetryAfter,
			"a call with this idempotency key is running")
	}
}

// saveOutcome stores the outcome, with retries. If the call hasn't run, the record is deleted, so that the key can be
// used again. If the outcome can't be written, the record stays as it is, so that a repeat is refused with
// MayHaveRun.
func (d *deduplicator) saveOutcome(ctx context.Context, name string, own record, version platform.Version, answer bufferedAnswer, runErr error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	for range recordWriteAttempts {
		err := d.writeOutcome(ctx, name, own, version, answer, runErr)
		if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return
		}
		if !ticker.Sleep(ctx, recordRetryInterval) {
			return
		}
	}
}

func (d *deduplicator) writeOutcome(ctx context.Context, name string, own record, version platform.Version, answer bufferedAnswer, runErr error) error {
	if runErr != nil && verdict.From(runErr).Verdict == verdict.NotRun {
		return d.store.Delete(ctx, name, version)
	}
	own.InDoubt = runErr != nil || len(answer.Body) > maxRecordedBody
	if !own.InDoubt {
		own.Answer = &answer
	}
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, name)
	}
	_, err = d.store.Put(ctx, name, value, version)
	return err
}
