package batchjob

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// stallTime is how long a stream may be silent before it goes on elsewhere. Events come every 30 to 150 ms; a change of
	// weights stops them for about a second.
	stallTime = 2500 * time.Millisecond
	// spanPieces is over how many pieces the pace of a stream is measured: a fifth of a second at the usual pace, three quarters at a
	// server that is four times slower. slowSpans in a row move the stream.
	spanPieces = 6
	slowSpans  = 2
	// refusalBytes bounds what is read of a refusal.
	refusalBytes = 64 << 10
	// refusedPause is the pause after a server refused an item, so that a full pool isn't asked without end.
	refusedPause = 60 * time.Millisecond
)

// outcome is how a run of an item ended.
type outcome uint8

const (
	// outcomeCut: the run may go on at another server after the last event received.
	outcomeCut outcome = iota + 1
	// outcomeRefused: the server did not run the item.
	outcomeRefused
	// outcomeCompleted: the stream came whole.
	outcomeCompleted
	// outcomeFailed: the server failed the item.
	outcomeFailed
	// outcomeImpossible: the item can never be done.
	outcomeImpossible
	// outcomeMoved: the server is slow, and others are not.
	outcomeMoved
	// outcomeUnfit: what was received can't be used with what would follow.
	outcomeUnfit
)

var outcomeNames = map[outcome]string{
	outcomeCut:        "cut",
	outcomeRefused:    "refused",
	outcomeCompleted:  "completed",
	outcomeFailed:     "failed",
	outcomeImpossible: "impossible",
	outcomeMoved:      "moved",
	outcomeUnfit:      "unfit",
}

// String returns the outcome for logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// run is one run of an item at a server.
type run struct {
	manager *Manager
	job     *job
	item    *batch.Item
	output  *batch.Output
	server  backend.Server
	// version is the weight version in force.
	version int
	// cause says why the run was cut.
	cause error
}

// runItem runs an item at the server and takes in what came of it.
func (m *Manager) runItem(ctx context.Context, j *job, item *batch.Item, output *batch.Output, server backend.Server) {
	r := &run{manager: m, job: j, item: item, output: output, server: server}
	started := time.Now()
	from := output.Last
	got := r.do(ctx)
	m.book.Release(server.ID)
	m.metrics.ran(got, time.Since(started))
	if got == outcomeCompleted {
		m.log.Debug().Str("request", j.spec.ID).Str("item", item.ID).Str("server", server.ID).Int("fromEvent", from).
			Int("lastEvent", output.Last).Int("expectedTokens", item.ExpectedTokens).Dur("took", time.Since(started)).Msg("item completed")
	} else if ctx.Err() == nil {
		m.log.Info().Str("request", j.spec.ID).Str("item", item.ID).Str("server", server.ID).Stringer("outcome", got).
			Int("fromEvent", from).Int("lastEvent", output.Last).Int("version", r.version).Dur("took", time.Since(started)).AnErr("cause", r.cause).
			Msg("item goes on elsewhere")
	}
	if got == outcomeRefused || got == outcomeFailed {
		ticker.Sleep(ctx, refusedPause)
	}
	r.settle(got)
	j.wake()
}

func (r *run) settle(got outcome) {
	now := time.Now()
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	progress := r.job.progress
	switch got {
	case outcomeCompleted:
		progress.Completed(now, r.item.ID)
	case outcomeFailed:
		progress.Failed(now, r.item.ID)
	case outcomeImpossible:
		progress.Lost(now, r.item.ID)
	case outcomeUnfit:
		progress.Restart(r.item.ID)
		progress.Again(r.item.ID)
	default:
		progress.Again(r.item.ID)
	}
}

// do sends the item and reads its stream.
func (r *run) do(ctx context.Context) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := time.AfterFunc(stallTime, func() { cancel(errStalled) })
	defer stalled.Stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	hop := platform.Hop{Server: r.server, Organisation: r.job.spec.Organisation}
	platform.FromItem(req, r.job.spec, r.item, r.output.Last, hop)
	stream, err := r.manager.servers.Open(ctx, req)
	if err != nil {
		return r.broken(ctx, err)
	}
	defer func() {
		// What the stream brought is known by now; a failing close changes nothing about it.
		_ = stream.Close()
	}()
	answer := platform.ReadAnswer(stream.Header())
	if answer.Load >= 0 {
		r.manager.book.Reported(time.Now(), r.server.ID, answer.Load)
	}
	if got, ok := r.judge(answer); !ok {
		if got == outcomeRefused && answer.NotRun {
			// The rest of a refusal is short; read to its end, it leaves the connection for the next item.
			_, _ = io.CopyN(io.Discard, stream, refusalBytes)
		}
		return got
	}
	return r.read(ctx, platform.NewEvents(stream), stalled)
}

var (
	errStalled = errors.New("the stream fell silent")
	errForeign = errors.New("the answer belongs to another request")
	errVersion = errors.New("the server has other weights")
	errSlow    = errors.New("the server is slow")
	errMissing = errors.New("an event is missing or came twice")
)

// broken takes in that the request could not be sent or its answer broke off.
func (r *run) broken(ctx context.Context, err error) outcome {
	r.cause = err
	if cause := context.Cause(ctx); cause != nil {
		r.cause = cause
	}
	if ctx.Err() == nil || errors.Is(r.cause, errStalled) {
		r.manager.book.Unreachable(time.Now(), r.server.ID)
		r.manager.book.Failed(time.Now(), r.server.ID)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		return outcomeRefused
	}
	return outcomeCut
}

// judge decides by the head of an answer whether its stream is read.
func (r *run) judge(answer platform.Answer) (outcome, bool) {
	book, now := r.manager.book, time.Now()
	switch {
	case answer.RequestID != "" && answer.RequestID != r.item.ID:
		r.cause = errForeign
		book.Failed(now, r.server.ID)
		return outcomeCut, false
	case answer.NotRun:
		r.cause = errors.Errorf("status %d", answer.Status)
		book.Refused(now, r.server.ID)
		return outcomeRefused, false
	case answer.Status == fasthttp.StatusUnprocessableEntity:
		r.cause = errors.New("the item can never be done")
		return outcomeImpossible, false
	case answer.Status == fasthttp.StatusInternalServerError:
		r.cause = errors.New("status 500")
		book.Failed(now, r.server.ID)
		return outcomeFailed, false
	case answer.Status != fasthttp.StatusOK || !answer.Signed():
		r.cause = errors.Errorf("status %d", answer.Status)
		book.Failed(now, r.server.ID)
		return outcomeCut, false
	case answer.Version == 0:
		// An answer without a version has no events: the server goes on after the last event of an item whose end was lost.
		return 0, true
	default:
		return r.changeVersion(answer.Version)
	}
}

// changeVersion takes in the weight version of what follows. It returns false if the job may not use it.
func (r *run) changeVersion(version int) (outcome, bool) {
	r.version = version
	spec := r.job.spec
	r.manager.book.Accepted(r.server.ID)
	r.manager.book.Shows(r.server.ID, spec.Model, version)
	if version < spec.MinVersion {
		r.cause = errVersion
		return outcomeRefused, false
	}
	if spec.SingleVersion && len(r.output.Versions) > 0 && r.output.Versions[0] != version {
		r.cause = errVersion
		return outcomeUnfit, false
	}
	return 0, true
}

// read takes in the events of a stream.
func (r *run) read(ctx context.Context, events *platform.Events, stalled *time.Timer) outcome {
	watch := pieceWatch{book: r.manager.book, server: r.server.ID}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && r.output.Last > 0 {
			return outcomeCompleted
		}
		if err != nil {
			return r.broken(ctx, err)
		}
		stalled.Reset(stallTime)
		if event.Version != 0 && event.Version != r.version {
			if got, ok := r.changeVersion(event.Version); !ok {
				return got
			}
		}
		if r.version == 0 {
			r.cause = errVersion
			return outcomeCut
		}
		if !r.append(event) {
			r.cause = errMissing
			return outcomeCut
		}
		if watch.piece(time.Now()) {
			r.cause = errSlow
			return outcomeMoved
		}
	}
}

// pieceWatch measures the pace of a stream over spans of pieces.
//
// Guard: single gaps mislead. An entry that is short of processor time reads pieces late and then many at once, and a change of
// weights stops a stream for a second; both look like slow servers, and an entry would move hundreds of streams at once. A span evens
// out the first, and two slow spans in a row are wanted because of the second.
type pieceWatch struct {
	book   *backend.Book
	server string
	pieces int
	// since is when the span began, slow how many spans in a row were slow.
	since time.Time
	slow  int
}

// piece takes in that a piece came, and says whether the stream should go on elsewhere.
func (w *pieceWatch) piece(now time.Time) bool {
	if w.since.IsZero() {
		// The first piece came after the wait for a place and the reading of the prompt.
		w.since = now
		return false
	}
	if w.pieces++; w.pieces < spanPieces {
		return false
	}
	pace := now.Sub(w.since) / spanPieces
	w.pieces, w.since = 0, now
	w.book.Served(now, w.server, pace)
	w.book.Pace(w.server, pace)
	if !w.book.Moves(w.server, pace) {
		w.slow = 0
		return false
	}
	w.slow++
	return w.slow >= slowSpans
}

func (r *run) append(event batch.Event) bool {
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	return r.output.Append(event, r.version)
}
