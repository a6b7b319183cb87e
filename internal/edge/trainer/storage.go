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
	// storeTimeout bounds one call of the platform, which answers in milliseconds; two seconds tell
	// an outage soon enough that a trainer with a cursor hardly notices.
	storeTimeout = 2 * time.Second
	// chunkBytes is the part of a step's body in one object; in base64 it stays under 700 KB of the
	// megabyte that a value may hold.
	chunkBytes = 512 << 10
	// digestPart is how much of a body's digest its objects' names carry.
	digestPart = 16
)

var errBody = errors.New("stored step body")

// storeOperation is one piece of work of a job's storage goroutine.
type storeOperation interface {
	run(ctx context.Context, s *storage) message
}

// storage reads and writes a job's objects, one operation at a time.
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
	cleanOperation struct{ before int }
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
	// The lease is checked here, on the goroutine that sends, and not only when the write was
	// decided: a process that was paused in between would else write under a lapsed lease.
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

// chunkName names a part of a step's body by its content, so that two bodies posted for one step
// at the same time never mix; the job object decides which one counts.
func chunkName(job string, step int, digest string, chunk int) string {
	return fmt.Sprintf("%s%d/%s/%d", stepPrefix(job), step, digest[:digestPart], chunk)
}

// putBody stores the body; chunks that exist already are the same.
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
		return nil, errors.Wrapf(errBody, "step %d has another digest", step)
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

// run removes the bodies of acknowledged steps. What fails is removed after the next step.
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
		if _, err := fmt.Sscanf(rest, "%d/", &step); err != nil || step >= o.before {
			continue
		}
		_ = s.store.Delete(ctx, object.Name, object.Version)
	}
	return nil
}
