package batchjob

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// stallTimeout is how long a stream may bring no event before its item is moved to another server. Events come every 30 to 150 ms; a
	// change of weights stops them for about a second.
	stallTimeout = 2500 * time.Millisecond
	// retryStallTimeout is how long the first event of the run after one that stalled may take, so that an item gets to a third server within five
	// seconds. It exceeds the time for which a change of weights stops a stream.
	retryStallTimeout = 1200 * time.Millisecond
	// eventsPerSpan is the number of events over which the pace of a stream is measured: a fifth of a second at the usual pace, three quarters
	// at a server that is four times slower. After slowSpansToMove slow spans in a row the item is moved.
	eventsPerSpan   = 6
	slowSpansToMove = 2
	// outputHoldStep is the growth of an output in bytes after which its memory is counted again. Usual outputs are smaller.
	outputHoldStep = 32 << 10
	// itemRetryDelay is the pause after a server refused or failed an item, or its answer was rejected, so that items aren't sent to a full
	// or faulty pool in a tight loop.
	itemRetryDelay = 60 * time.Millisecond
)

// outcome is how a run of an item ended.
type outcome uint8

const (
	// outcomeInterrupted: the stream broke off, and the item may resume at another server after the last event received.
	outcomeInterrupted outcome = iota + 1
	// outcomeRefused: the server did not run the item.
	outcomeRefused
	// outcomeCompleted: the stream was received to its end.
	outcomeCompleted
	// outcomeFailed: the server answered with status 500, which counts as a failure of the item.
	outcomeFailed
	// outcomeImpossible: the server answered that the item can never succeed.
	outcomeImpossible
	// outcomeMoved: the server is slower than others, so the item moves to another one.
	outcomeMoved
	// outcomeVersionMismatch: the job allows a single weight version, and the server's differs from that of the text received so far.
	outcomeVersionMismatch
	// outcomeEndless: the server sent more than an answer or an event may have. The item resumes at another server.
	outcomeEndless
	// outcomeMalformed: the protocol doesn't allow the server's answer. The item resumes at another server.
	outcomeMalformed
	// outcomeShortRun: the run brought as many events as it may, and the item resumes.
	outcomeShortRun
	// outcomeOverlong: the output exceeds what an item may have. It is discarded, since its proper end can't be told.
	outcomeOverlong
)

var outcomeNames = map[outcome]string{
	outcomeInterrupted:     "cut",
	outcomeRefused:         "refused",
	outcomeCompleted:       "completed",
	outcomeFailed:          "failed",
	outcomeImpossible:      "impossible",
	outcomeMoved:           "moved",
	outcomeVersionMismatch: "unfit",
	outcomeEndless:         "endless",
	outcomeMalformed:       "malformed",
	outcomeShortRun:        "shortRun",
	outcomeOverlong:        "overlong",
}

// String returns the name of the outcome in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// itemRun is one run of an item at a server.
type itemRun struct {
	manager *Manager
	job     *job
	item    *batch.Item
	output  *batch.Output
	server  backend.Server
	// version is the weight version of the events that are received; 0 until the server names one.
	version int
	// cause says why the run did not complete.
	cause error
	// connectionLost is set if the connection broke, or stalled, after the server may have begun to run the item.
	connectionLost bool
	// silence counts the runs of the item before this one that brought no answer.
	silence silence
	// move is the move that led to this run; nil if there was none.
	move *move
	// heldOutput is the size of the output, in bytes, that was last counted as memory of the stream.
	heldOutput int
	// limit bounds the run. Survived is the number of events after which it shows that the item isn't what ended servers before; 0 if none has.
	limit batch.RunLimit
	// sentAt is when the request was sent.
	sentAt   time.Time
	survived int
	// slowInterval is the time between events for which the item left the server.
	slowInterval time.Duration

	// The job's lock guards what follows.

	// began is when a server was chosen for the run.
	began time.Time
	// cancel ends the run; nil before its request is sent.
	cancel context.CancelCauseFunc
	// next is where the item moves to once the run has ended. A slot is acquired there.
	next *destination
}

// runItem runs an item, at one server after another as long as it moves, and records the outcome in the job's progress.
func (m *Manager) runItem(ctx context.Context, r *itemRun) {
	for r != nil {
		r = m.runOnce(ctx, r)
	}
}

// runOnce runs an item at a server. It returns the run at the server that the item moves to; nil if it doesn't move.
func (m *Manager) runOnce(ctx context.Context, r *itemRun) *itemRun {
	j, item, output, server := r.job, r.item, r.output, r.server
	started := time.Now()
	from := output.LastEvent
	m.logStart(r, from)
	result := r.execute(ctx)
	r.recordEnd()
	m.balancer.Release(server.ID)
	m.metrics.observeRun(result, time.Since(started))
	r.countMove(result, from)
	r.recordAnswer(from)
	if result == outcomeCompleted {
		m.balancer.RecordCompleteAnswer(server.ID)
		m.clearServerEnds(j, item.ID, false)
		m.lengths.RecordFinished(j.spec.Model, item.ExpectedTokens, output.LastEvent)
		m.metrics.observeLength(item.ExpectedTokens, output.LastEvent)
		m.log.Debug().Str("request", j.spec.ID).Str("item", item.ID).Str("group", item.Group).Str("server", server.ID).Int("fromEvent", from).
			Int("lastEvent", output.LastEvent).Int("expectedTokens", item.ExpectedTokens).Dur("took", time.Since(started)).Msg("item completed")
	} else if ctx.Err() == nil {
		m.log.Info().Str("request", j.spec.ID).Str("item", item.ID).Str("group", item.Group).Str("server", server.ID).Stringer("outcome", result).
			Int("fromEvent", from).Int("lastEvent", output.LastEvent).Int("version", r.version).Dur("took", time.Since(started)).AnErr("cause", r.cause).
			Msg("item run not completed")
	}
	use := serverUse{item: item.ID, server: server.Key(), address: server.Address, pool: server.Pool, from: from, last: output.LastEvent, lasted: time.Since(started), short: r.limit.Events > 0}
	if r.connectionLost && ctx.Err() == nil {
		m.checkServer(ctx, j, j.recordInterruption(time.Now(), use), errors.Is(r.cause, errStalled))
	}
	if result == outcomeShortRun || result == outcomeMoved {
		m.watchServer(ctx, r, started, use, result == outcomeShortRun)
	} else {
		m.serverEnds.Ended(server.ID, item.ID)
	}
	if result == outcomeFailed {
		r.recordFailure()
	}
	if next := m.continueMove(ctx, r, result); next != nil {
		return next
	}
	rejected := result == outcomeInterrupted && !r.connectionLost || result == outcomeEndless || result == outcomeMalformed ||
		result == outcomeOverlong
	if result == outcomeRefused || result == outcomeFailed || rejected {
		j.setBetweenRuns(item.ID, batch.IdlePaused)
		ticker.Sleep(ctx, itemRetryDelay)
	}
	r.applyOutcome(result)
	j.wake()
	return nil
}

// silence is how many runs of an item in a row brought no answer, and how many of them stalled.
type silence struct {
	runs, stalls int
}

// firstEventTimeout returns how long the first event may take. Only one run has the shorter timeout: servers that are slow or loaded aren't
// silent.
func (r *itemRun) firstEventTimeout() time.Duration {
	if r.silence.stalls == 1 {
		return retryStallTimeout
	}
	return stallTimeout
}

// recordAnswer records whether the server has answered the item's run, which began after the given event, or was silent. The next run of an item
// without an answer goes to a server that answers, if there is one, on a new connection: other servers, and idle connections to them, may have
// become silent at the same time, and each costs another timeout.
func (r *itemRun) recordAnswer(from int) {
	stalled := errors.Is(r.cause, errStalled)
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	switch known := r.job.silences[r.item.ID]; {
	case stalled:
		r.job.silences[r.item.ID] = silence{runs: known.runs + 1, stalls: known.stalls + 1}
	case errors.Is(r.cause, exchange.ErrNotSent):
		r.job.silences[r.item.ID] = silence{runs: known.runs + 1, stalls: known.stalls}
	case r.output.LastEvent > from:
		delete(r.job.silences, r.item.ID)
	}
}

// recordFailure records in the job's progress that the server answered with a failure, before the pause that follows.
func (r *itemRun) recordFailure() {
	r.job.mu.Lock()
	if current, runs := r.job.runs[r.item.ID]; !runs || current == r {
		r.job.progress.RecordFailure(time.Now(), r.item.ID)
	}
	r.job.mu.Unlock()
	r.job.wake()
}

// applyOutcome records in the job's progress how the run ended.
func (r *itemRun) applyOutcome(result outcome) {
	now := time.Now()
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	if current, runs := r.job.runs[r.item.ID]; runs && current != r {
		// The item was withheld when its move was given up, and runs again by now.
		return
	}
	progress := r.job.progress
	delete(r.job.betweenRuns, r.item.ID)
	switch result {
	case outcomeCompleted:
		progress.RecordCompletion(now, r.item.ID)
	case outcomeImpossible:
		progress.MarkFailed(now, r.item.ID)
	case outcomeVersionMismatch, outcomeOverlong:
		progress.DiscardOutput(r.item.ID)
		progress.Requeue(r.item.ID)
	case outcomeMoved:
		if r.next == nil {
			r.job.slowMoves[r.item.ID] = move{from: r.server.ID, reason: moveSlow, intervalFrom: r.slowInterval}
		}
		progress.Requeue(r.item.ID)
	default:
		progress.Requeue(r.item.ID)
	}
	if progress.IsWaiting(r.item.ID) {
		r.job.rankingStale = true
	}
}

// execute sends the item and reads its stream.
func (r *itemRun) execute(ctx context.Context) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.setCancel(cancel)
	stalled := time.AfterFunc(r.firstEventTimeout(), func() { cancel(errStalled) })
	defer stalled.Stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	hop := platform.Hop{Server: r.server, Organisation: r.job.spec.Organisation}
	platform.BuildItemRequest(req, r.job.spec, r.item, r.output.LastEvent, hop)
	r.sentAt = time.Now()
	open := r.manager.servers.Open
	if r.silence.runs > 0 {
		open = r.manager.servers.OpenNew
	}
	stream, err := open(ctx, req)
	if err != nil {
		return r.handleStreamError(ctx, err)
	}
	defer func() {
		// The events have been read by now; a failing close changes nothing about them.
		_ = stream.Close()
	}()
	answer := platform.ReadAnswer(stream.Header())
	if answer.Load != nil {
		r.manager.balancer.RecordLoad(time.Now(), r.server.ID, *answer.Load)
	}
	if result, ok := r.checkHeader(answer); !ok {
		if result == outcomeRefused && answer.NotRun && exchange.IsTooLarge(stream.Discard()) {
			r.manager.balancer.RecordInvalidAnswer(time.Now(), r.server.ID)
		}
		return result
	}
	return r.readEvents(ctx, cancel, stream, stalled)
}

var (
	errStalled      = errors.New("the stream brought no event within the stall timeout")
	errWrongVersion = errors.New("the job may not use the server's weight version")
	errSlow         = errors.New("the server is slow")
	errMoved        = errors.New("the item moves to a faster server")
	errShortRun     = errors.New("the run of an item under which servers ended is short")
	errOverlong     = errors.New("the output is longer than an item's may be")
	errEventOrder   = errors.New("an event is missing or repeated")
)

// handleStreamError handles a request that could not be sent or whose answer broke off.
func (r *itemRun) handleStreamError(ctx context.Context, err error) outcome {
	r.cause = err
	if exchange.IsTooLarge(err) || errors.Is(err, platform.ErrEventTooLarge) {
		r.manager.balancer.RecordInvalidAnswer(time.Now(), r.server.ID)
		return outcomeEndless
	}
	if exchange.IsMalformed(err) {
		r.manager.balancer.RecordInvalidAnswer(time.Now(), r.server.ID)
		return outcomeMalformed
	}
	if cause := context.Cause(ctx); cause != nil {
		r.cause = cause
	}
	if ctx.Err() == nil || errors.Is(r.cause, errStalled) {
		r.manager.balancer.RecordConnectionFailure(time.Now(), r.server.ID, errors.Is(err, exchange.ErrNotSent))
		r.manager.balancer.RecordFailure(time.Now(), r.server.ID)
	}
	switch {
	case errors.Is(r.cause, errMoved):
		return outcomeMoved
	case errors.Is(r.cause, errShortRun):
		return outcomeShortRun
	case errors.Is(err, exchange.ErrNotSent):
		return outcomeRefused
	default:
		r.connectionLost = true
		return outcomeInterrupted
	}
}

// checkHeader decides by the status and header of an answer whether its stream is read.
func (r *itemRun) checkHeader(answer platform.Answer) (outcome, bool) {
	balancer, now := r.manager.balancer, time.Now()
	classified, cause := call.Classify(answer, r.item.ID)
	r.cause = cause
	switch {
	case classified == verdict.NotRun:
		balancer.RecordRefusal(now, r.server.ID)
		return outcomeRefused, false
	case classified != verdict.Ran:
		balancer.RecordFailure(now, r.server.ID)
		return outcomeInterrupted, false
	case answer.Status == fasthttp.StatusUnprocessableEntity:
		r.cause = errors.New("the item can never succeed")
		return outcomeImpossible, false
	case answer.Status == fasthttp.StatusInternalServerError:
		r.cause = errors.New("status 500")
		balancer.RecordFailure(now, r.server.ID)
		return outcomeFailed, false
	case answer.Status != fasthttp.StatusOK:
		r.cause = errors.Errorf("status %d", answer.Status)
		balancer.RecordFailure(now, r.server.ID)
		return outcomeInterrupted, false
	case answer.Version == 0:
		// An answer without a version has no events: all were received before, and only the end of the stream was lost.
		return 0, true
	default:
		return r.acceptVersion(answer.Version)
	}
}

// acceptVersion records the weight version of the events that follow. It returns false if the job may not use it.
func (r *itemRun) acceptVersion(version int) (outcome, bool) {
	r.version = version
	spec := r.job.spec
	r.manager.balancer.RecordAcceptance(r.server.ID)
	r.manager.balancer.RecordVersion(r.server.ID, spec.Model, version)
	if version < spec.MinVersion {
		r.cause = errWrongVersion
		return outcomeRefused, false
	}
	if spec.SingleVersion && len(r.output.Versions) > 0 && r.output.Versions[0] != version {
		r.cause = errWrongVersion
		return outcomeVersionMismatch, false
	}
	return 0, true
}

// readEvents appends the events of a stream to the item's output.
func (r *itemRun) readEvents(ctx context.Context, cancel context.CancelCauseFunc, stream *exchange.Stream, stalled *time.Timer) outcome {
	r.heldOutput = r.output.Size()
	events := platform.NewEventReader(stream, func(bytes int) error { return stream.Hold(r.heldOutput + bytes) })
	limit := platform.OutputLimit(r.item)
	monitor := paceMonitor{balancer: r.manager.balancer, server: r.server.ID}
	for received := 1; ; received++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && r.output.LastEvent > 0 {
			return outcomeCompleted
		}
		if err != nil {
			return r.handleStreamError(ctx, err)
		}
		stalled.Reset(stallTimeout)
		if result, ok := r.acceptEvent(event, limit); !ok {
			return result
		}
		if received == r.survived {
			r.manager.clearServerEnds(r.job, r.item.ID, false)
		}
		if received == r.limit.Events {
			r.cause = errShortRun
			return outcomeShortRun
		}
		if received == 1 && r.limit.Time > 0 {
			end := time.AfterFunc(r.limit.Time-time.Since(r.sentAt), func() { cancel(errShortRun) })
			defer end.Stop()
		}
		if err := r.holdOutput(stream); err != nil {
			return r.handleStreamError(ctx, err)
		}
		if monitor.eventReceived(time.Now()) {
			// In a pool whose servers differ in speed, the job's control loop also moves items, but only once the usual length of outputs is known
			// and a bounded number of times. Neither bounds the exit from a faulty server.
			r.cause = errSlow
			r.slowInterval = monitor.lastInterval
			return outcomeMoved
		}
	}
}

// acceptEvent appends an event to the item's output. It returns false, and the outcome of the run, if the job may not use the event.
func (r *itemRun) acceptEvent(event batch.Event, limit batch.OutputLimit) (outcome, bool) {
	if event.Version != 0 && event.Version != r.version {
		if result, ok := r.acceptVersion(event.Version); !ok {
			return result, false
		}
	}
	if r.version == 0 {
		r.cause = errWrongVersion
		return outcomeInterrupted, false
	}
	if event.Number == r.output.LastEvent+1 && !limit.Allows(r.output, event) {
		r.cause = errors.Wrapf(errOverlong, "event %d after %d bytes, limits %d events and %d bytes", event.Number, r.output.Size(), limit.Events, limit.Bytes)
		r.manager.balancer.RecordInvalidAnswer(time.Now(), r.server.ID)
		return outcomeOverlong, false
	}
	if !r.append(event) {
		r.cause = errEventOrder
		return outcomeInterrupted, false
	}
	return 0, true
}

// holdOutput reports the size of the item's output as memory of the stream, in steps.
func (r *itemRun) holdOutput(stream *exchange.Stream) error {
	size := r.output.Size()
	if size <= r.heldOutput+outputHoldStep {
		return nil
	}
	r.heldOutput = size
	return stream.Hold(size)
}

// paceMonitor measures the pace of a stream over spans of events.
//
// Gaps between single events mislead. An entry that is short of processor time reads events late and then many at once, and a change of
// weights stops a stream for a second; both look like slow servers, and an entry would move hundreds of streams at once. A span evens out
// the first, and two slow spans in a row are required because of the second.
type paceMonitor struct {
	balancer *backend.Balancer
	server   string
	events   int
	// spanStart is when the span began, slowSpans how many spans in a row were slow.
	spanStart time.Time
	slowSpans int
	// lastInterval is the mean time between events in the last span.
	lastInterval time.Duration
}

// eventReceived records that an event came, and reports whether the item should move to another server.
func (p *paceMonitor) eventReceived(now time.Time) bool {
	if p.spanStart.IsZero() {
		// The first event comes after the wait for a slot and the processing of the prompt.
		p.spanStart = now
		return false
	}
	if p.events++; p.events < eventsPerSpan {
		return false
	}
	pace := now.Sub(p.spanStart) / eventsPerSpan
	p.events, p.spanStart, p.lastInterval = 0, now, pace
	p.balancer.RecordLatency(now, p.server, pace)
	p.balancer.RecordEventInterval(now, p.server, pace)
	if !p.balancer.ShouldMove(p.server, pace) {
		p.slowSpans = 0
		return false
	}
	p.slowSpans++
	return p.slowSpans >= slowSpansToMove
}

func (r *itemRun) append(event batch.Event) bool {
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	if !r.output.Append(event, r.version) {
		return false
	}
	r.job.countEarlyEvent(event)
	return true
}
