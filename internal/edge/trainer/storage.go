package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// storeTimeout limits one call to the platform, which normally responds in milliseconds. Two seconds detect an outage
	// soon enough that a trainer with a cursor hardly notices it.
	storeTimeout = 2 * time.Second
	// chunkBytes is the size of a chunk of a step's body, which is stored in one object. In base64 it stays below 700 KB, and a value may
	// hold one megabyte.
	chunkBytes = 512 << 10
	// digestPrefix is how many characters of a body's digest are part of the names of its objects.
	digestPrefix = 16
)

var errInvalidBody = errors.New("invalid stored step body")

// storeOperation is executed by a job's storage goroutine. It returns a message for the control goroutine, or nil.
type storeOperation interface {
	run(ctx context.Context, s *storage) message
}

// storage reads and writes the objects of one job, one operation at a time.
type storage struct {
	job   string
	store platform.Store
	lease Lease
}

type (
	readOperation  struct{ activation int }
	writeOperation struct {
		activation int
		write      delivery.Write
		body       []byte
	}
	loadBodyOperation struct {
		activation int
		step       int
		digest     string
		chunks     int
	}
	cleanOperation struct{ beforeStep int }
)

type bodyChunk struct {
	Part []byte `json:"part"`
}

func (o readOperation) run(ctx context.Context, s *storage) message {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, delivery.ObjectName(s.job))
	if errors.Is(err, platform.ErrNotFound) {
		return eventMessage{o.activation, delivery.Loaded{Record: delivery.Record{Job: s.job}}}
	}
	if err != nil {
		return eventMessage{o.activation, delivery.ReadFailed{}}
	}
	record, err := delivery.ParseRecord(object.Value)
	if err != nil {
		return eventMessage{o.activation, delivery.ReadFailed{}}
	}
	return eventMessage{o.activation, delivery.Loaded{Record: record, Version: uint64(object.Version)}}
}

func (o writeOperation) run(ctx context.Context, s *storage) message {
	return eventMessage{o.activation, o.result(ctx, s)}
}

func (o writeOperation) result(ctx context.Context, s *storage) delivery.Event {
	raw, err := json.Marshal(o.write.Record)
	if err != nil {
		return delivery.WriteUnavailable{}
	}
	if o.write.StoreBody {
		if err := s.putBody(ctx, o.write.Record.Step, o.body); err != nil {
			return delivery.WriteUnavailable{}
		}
	}
	// The lease is checked on the goroutine that sends the write, and not only when the write was decided. Otherwise a
	// process that was paused in between would write under an expired lease.
	now := time.Now()
	fence, held := s.lease.Held(now)
	if !held {
		return delivery.WriteFenced{}
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(fence.Deadline, now.Add(storeTimeout)))
	defer cancel()
	version, err := s.store.Put(ctx, delivery.ObjectName(s.job), raw, platform.Version(o.write.IfVersion))
	switch {
	case err == nil:
		return delivery.Written{Version: uint64(version)}
	case errors.Is(err, platform.ErrConflict):
		return delivery.WriteConflicted{}
	case errors.Is(err, platform.ErrUnavailable):
		return delivery.WriteUnavailable{}
	}
	return delivery.WriteUncertain{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// chunkCount returns the number of objects for a step's body.
func chunkCount(body []byte) int {
	return (len(body) + chunkBytes - 1) / chunkBytes
}

func stepPrefix(job string) string {
	return delivery.ObjectName(job) + "/step/"
}

// chunkName returns the object name of a chunk of a step's body. The name contains the body's digest, so that two bodies
// posted for one step at the same time never mix. The job object decides which of them is valid.
func chunkName(job string, step int, digest string, chunk int) string {
	return fmt.Sprintf("%s%d/%s/%d", stepPrefix(job), step, digest[:digestPrefix], chunk)
}

// putBody stores the body in chunks. Chunks that already exist have the same content, because their names contain the
// digest.
func (s *storage) putBody(ctx context.Context, step *delivery.StepRecord, body []byte) error {
	for chunk := range step.Chunks {
		part := body[chunk*chunkBytes : min(len(body), (chunk+1)*chunkBytes)]
		raw, err := json.Marshal(bodyChunk{Part: part})
		if err != nil {
			return errors.Wrapf(err, "step %d", step.Step)
		}
		if err := s.putChunk(ctx, chunkName(s.job, step.Step, step.Digest, chunk), raw); err != nil {
			return err
		}
	}
	return nil
}

func (s *storage) putChunk(ctx context.Context, name string, raw json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.store.Put(ctx, name, raw, 0)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, name)
}

func (o loadBodyOperation) run(ctx context.Context, s *storage) message {
	body, err := s.body(ctx, o.step, o.digest, o.chunks)
	return bodyMessage{activation: o.activation, step: o.step, digest: o.digest, body: body, err: err}
}

func (s *storage) body(ctx context.Context, step int, digest string, chunks int) ([]byte, error) {
	var body []byte
	for chunk := range chunks {
		part, err := s.chunk(ctx, chunkName(s.job, step, digest, chunk))
		if err != nil {
			return nil, err
		}
		body = append(body, part...)
	}
	if delivery.Digest(body) != digest {
		return nil, errors.Wrapf(errInvalidBody, "step %d: digest mismatch", step)
	}
	return body, nil
}

func (s *storage) chunk(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, name)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	var chunk bodyChunk
	if err := json.Unmarshal(object.Value, &chunk); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return chunk.Part, nil
}

// run removes the bodies of acknowledged steps. Objects that could not be removed are removed after the next step.
func (o cleanOperation) run(ctx context.Context, s *storage) message {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, err := s.store.List(ctx, stepPrefix(s.job))
	if err != nil {
		return nil
	}
	for _, object := range objects {
		var step int
		rest := strings.TrimPrefix(object.Name, stepPrefix(s.job))
		if _, err := fmt.Sscanf(rest, "%d/", &step); err != nil || step >= o.beforeStep {
			continue
		}
		_ = s.store.Delete(ctx, object.Name, object.Version)
	}
	return nil
}
