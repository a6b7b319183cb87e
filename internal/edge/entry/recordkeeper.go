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
	// maxRecordedBody is the longest answer that is kept for repeats; a repeat of a longer one is told that the call ran.
	maxRecordedBody = 256 << 10
	recordTries     = 5
	recordPause     = 200 * time.Millisecond
	recordTime      = 5 * time.Second
	inProgressRetry = time.Second
	// recordMargin is how long after the deadline of a call its outcome may still come: the question after the deadline,
	// the write of the outcome, and clocks of two hosts that differ by some seconds.
	recordMargin = settleTimeAfterDeadline + recordTime + 5*time.Second
)

// record is the object kept for one idempotency key.
type record struct {
	// Digest is of method, path, query and body: the same key with another call is refused.
	Digest string `json:"digest"`
	// Writer names the try that created the record, so that a lost answer can be settled.
	Writer string       `json:"writer"`
	Answer *wholeAnswer `json:"answer,omitempty"`
	// InDoubt says that the call may have run and that no answer will come.
	InDoubt bool      `json:"inDoubt,omitempty"`
	Created time.Time `json:"created"`
	// Deadline is when the entry gives the call up; records of older versions have none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// over says whether nobody waits for the call any more.
//
// Guard: the entry of a call dies, and the record stays without an outcome. Its repeats would be told for half an hour, the longest
// deadline there is, that the call is running. Past its own deadline no answer will come. Both answers say that the call may have
// run, so that a clock that is wrong makes none of them false, and no repeat runs.
func (r record) over(now time.Time) bool {
	if r.Deadline.IsZero() {
		return now.Sub(r.Created) > MaxRequestTimeout
	}
	return now.Sub(r.Deadline) > recordMargin
}

// recordKeeper maps a caller's idempotency key to one run over all entries.
//
// A record whose entry died stays without an outcome: its repeats are told that the call is running, and once
// no request can be running any more, that it may have run.
//
// Guard: the caller repeats a call that may not run twice, at another entry, while or after the first ran.
// The record is created in the platform before the run, and creation has one winner. Where the platform
// can't be reached the call is refused as not run.
type recordKeeper struct {
	store  platform.Store
	config Config
	count  atomic.Uint64
	// background runs work that outlives its request; the end of the process waits for it.
	background func(work func())
}

func newRecordKeeper(store platform.Store, config Config, background func(work func())) *recordKeeper {
	return &recordKeeper{store: store, config: config, background: background}
}

func (k *recordKeeper) once(ctx context.Context, c call, message request.Execute, key string, run func() (wholeAnswer, error)) (wholeAnswer, error) {
	name := recordName(c, key)
	mine := record{
		Digest:  messageDigest(c.pool.Name, message),
		Writer:  fmt.Sprintf("%s-%016x-%d", k.config.HostID, k.config.Incarnation, k.count.Add(1)),
		Created: time.Now().UTC(),
	}
	mine.Deadline, _ = ctx.Deadline()
	version, err := k.create(ctx, name, mine)
	if errors.Is(err, platform.ErrConflict) {
		return k.repeat(ctx, name, mine)
	}
	if err != nil {
		if !errors.Is(err, platform.ErrUnavailable) {
			k.background(func() { k.withdraw(ctx, name, mine) })
		}
		return wholeAnswer{}, platformRefusal(err)
	}
	answer, err := run()
	k.finishInTime(ctx, func() { k.finish(ctx, name, mine, version, answer, err) })
	return answer, err
}

// finishInTime runs finish, and returns once it has ended or the caller's deadline is over.
//
// Guard: the platform stands still while an outcome is written. A caller that is given up on would wait for the platform
// instead of being answered; the outcome is written without it.
func (k *recordKeeper) finishInTime(ctx context.Context, finish func()) {
	done := make(chan struct{})
	k.background(func() {
		defer close(done)
		finish()
	})
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	// Within this time a platform that answers has the outcome, so that a repeat that comes at once learns of it.
	timer := time.NewTimer(settleTimeAfterDeadline)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// withdraw deletes a record whose creation was not confirmed, if it was created after all.
//
// Guard: the call was refused as not run, and its record would tell each repeat until its deadline that it is running, and for a day that it may have run.
// Only the record of this very try goes, and nothing runs under it. It is looked for during recordTime, since the
// write may take effect after the first look; one that takes effect later still stays.
func (k *recordKeeper) withdraw(ctx context.Context, name string, mine record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	for {
		object, err := k.store.Get(ctx, name)
		if err == nil && !mine.wrote(object) {
			return
		}
		if err == nil && k.store.Delete(ctx, name, object.Version) == nil {
			return
		}
		if !ticker.Sleep(ctx, recordPause) {
			return
		}
	}
}

// wrote says whether the object is this record as its own try created it.
func (r record) wrote(object platform.Object) bool {
	var found record
	return json.Unmarshal(object.Value, &found) == nil && found.Writer == r.Writer
}

func recordName(c call, key string) string {
	sum := sha256.Sum256([]byte(c.pool.Name + "\x00" + key))
	return recordPrefix(int(sum[0])) + c.organisation + "/" + hex.EncodeToString(sum[:])
}

func messageDigest(pool string, message request.Execute) string {
	sum := sha256.New()
	for _, part := range []string{pool, message.Method, message.Path, message.Query} {
		// A hash takes all bytes and never fails.
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(message.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// create writes the record if there is none. After a lost answer it reads whose record is there.
func (k *recordKeeper) create(ctx context.Context, name string, mine record) (platform.Version, error) {
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	version, err := k.store.Put(ctx, name, value, 0)
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) {
		return version, err
	}
	object, readErr := k.readBack(ctx, name)
	if readErr != nil {
		return 0, err
	}
	if mine.wrote(object) {
		return object.Version, nil
	}
	return 0, platform.ErrConflict
}

// readBack reads a record after a lost answer, again and again for recordTime.
//
// Guard: the connection that lost the answer to the write often loses the read as well. The call would be refused
// as not run and its record left behind, and every repeat of the caller told of a call that never ran.
func (k *recordKeeper) readBack(ctx context.Context, name string) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTime)
	defer cancel()
	for {
		object, err := k.store.Get(ctx, name)
		if err == nil || errors.Is(err, platform.ErrNotFound) || !ticker.Sleep(ctx, recordPause) {
			return object, err
		}
	}
}

func platformRefusal(err error) error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable, noServerRetry,
		"the record for the idempotency key can't be written: %v", err)
}

// repeat answers a call whose key has a record already.
func (k *recordKeeper) repeat(ctx context.Context, name string, mine record) (wholeAnswer, error) {
	object, err := k.store.Get(ctx, name)
	if err != nil {
		// This repeat hasn't run, but the first call may have.
		return wholeAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonPlatformUnavailable, noServerRetry,
			"a call with this idempotency key was made before, and its record can't be read")
	}
	var found record
	if err := json.Unmarshal(object.Value, &found); err != nil {
		return wholeAnswer{}, errors.Wrapf(err, "record %s", name)
	}
	switch {
	case found.Digest != mine.Digest:
		return wholeAnswer{}, verdict.Refuse(verdict.NotRun, verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another call")
	case found.Answer != nil:
		return *found.Answer, nil
	case found.InDoubt || found.over(time.Now()):
		return wholeAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonAnswerLost, 0,
			"the first call with this idempotency key may have run; its answer was lost")
	default:
		return wholeAnswer{}, verdict.Refuse(verdict.MayHaveRun, verdict.ReasonInProgress, inProgressRetry,
			"a call with this idempotency key is running")
	}
}

// finish records the outcome. A call that has not run gives its key back. If the outcome can't be
// written the record stays as it is, so that a repeat is told that the call may have run.
func (k *recordKeeper) finish(ctx context.Context, name string, mine record, version platform.Version, answer wholeAnswer, runErr error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	for range recordTries {
		err := k.writeOutcome(ctx, name, mine, version, answer, runErr)
		if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return
		}
		if !ticker.Sleep(ctx, recordPause) {
			return
		}
	}
}

func (k *recordKeeper) writeOutcome(ctx context.Context, name string, mine record, version platform.Version, answer wholeAnswer, runErr error) error {
	if runErr != nil && verdict.From(runErr).Verdict == verdict.NotRun {
		return k.store.Delete(ctx, name, version)
	}
	mine.InDoubt = runErr != nil || len(answer.Body) > maxRecordedBody
	if !mine.InDoubt {
		mine.Answer = &answer
	}
	value, err := json.Marshal(mine)
	if err != nil {
		return errors.Wrap(err, name)
	}
	_, err = k.store.Put(ctx, name, value, version)
	return err
}
