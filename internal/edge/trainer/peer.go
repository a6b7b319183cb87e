package trainer

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// The methods served between entries.
const (
	MethodForward      peer.Method = "trainerForward"
	MethodCopySample   peer.Method = "copySample"
	MethodFetchSamples peer.Method = "fetchSamples"
)

const (
	// fetchBytes bounds one answer of fetchSamples; a frame holds 16 MiB. The asker asks again for
	// what is left.
	fetchBytes = 4 << 20
	// copyTries is how many hosts are tried for a copy at once; the sample rests after that.
	copyTries = 3
	// The answer of a forwarded request travels some milliseconds; a tenth of short deadlines, and
	// 200 ms of long ones, cover a busy host too.
	forwardShare     = 10
	maxForwardMargin = 200 * time.Millisecond
)

var errNoHost = errors.New("no host took the copy")

type copyMessage struct {
	Job    string       `msgpack:"j"`
	Sample CopiedSample `msgpack:"s"`
}

type copied struct{}

type fetchMessage struct {
	Job     string   `msgpack:"j"`
	Digests []string `msgpack:"d"`
}

type fetched struct {
	Samples []CopiedSample `msgpack:"s"`
}

type forwardEnd struct {
	Cursor string `msgpack:"c"`
}

// RegisterPeer serves the methods between entries.
func (c *Coordinator) RegisterPeer(registry *peer.Registry) {
	peer.HandleStream(registry, MethodForward, c.serveForward)
	peer.Handle(registry, MethodCopySample, c.serveCopy)
	peer.Handle(registry, MethodFetchSamples, c.serveFetch)
}

// serveForward answers as the coordinator, and never forwards on: two hosts that take each other
// for the holder would send a request round for ever. A host that is cut off from the platform and
// the relays does not answer: what looks to it like an outage may be its own isolation, and it
// would move a job alone which a successor already serves.
func (c *Coordinator) serveForward(ctx context.Context, forwarded Forwarded, out peer.Sink) (forwardEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, min(forwarded.Remaining, maxTimeout)-forwardMargin(forwarded.Remaining))
	defer cancel()
	r, ok := c.runner(forwarded.Job)
	if !ok {
		return forwardEnd{}, refusalNotHolder(forwarded.Job)
	}
	now := time.Now()
	if here, _, _ := r.serving(now); !here || !c.fresh(now) {
		return forwardEnd{}, refusalNotHolder(forwarded.Job)
	}
	reply, err := c.serveHere(ctx, r, forwarded)
	if err != nil {
		return forwardEnd{}, verdict.From(err)
	}
	// The request may have waited here for minutes, and this host be cut off by now.
	if !c.fresh(time.Now()) {
		refusal := refusalNotHolder(forwarded.Job)
		refusal.Verdict = verdict.MayHaveRun
		return forwardEnd{}, refusal
	}
	if err := out.Head(request.AnswerHead{Status: reply.Status}); err != nil {
		return forwardEnd{}, errors.Wrap(err, forwarded.Job)
	}
	if _, err := out.Write(reply.Body); err != nil {
		return forwardEnd{}, errors.Wrap(err, forwarded.Job)
	}
	return forwardEnd{Cursor: reply.Cursor}, nil
}

// forwardMargin is taken off, so that a refusal reaches the entry before its own time is over.
func forwardMargin(remaining time.Duration) time.Duration {
	return min(remaining/forwardShare, maxForwardMargin)
}

func (c *Coordinator) serveCopy(_ context.Context, message copyMessage) (copied, error) {
	if err := c.shelf.put(message.Job, message.Sample); err != nil {
		return copied{}, verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom,
			retryInterval, "copy: %v", err)
	}
	return copied{}, nil
}

func (c *Coordinator) serveFetch(_ context.Context, message fetchMessage) (fetched, error) {
	var answer fetched
	size := 0
	for _, digest := range message.Digests {
		sample, ok := c.shelf.get(message.Job, digest)
		if !ok {
			continue
		}
		size += len(sample.Raw)
		if size > fetchBytes && len(answer.Samples) > 0 {
			break
		}
		answer.Samples = append(answer.Samples, sample)
	}
	return answer, nil
}

// PeerForwarder forwards requests over the connections between entries.
type PeerForwarder struct{ client *peer.Client }

// NewPeerForwarder returns a forwarder.
func NewPeerForwarder(client *peer.Client) *PeerForwarder {
	return &PeerForwarder{client: client}
}

// Forward asks the holder of the job's lease and returns its whole answer.
func (p *PeerForwarder) Forward(ctx context.Context, to netip.AddrPort, forwarded Forwarded) (Reply, error) {
	answer, err := peer.OpenStream[Forwarded, forwardEnd](ctx, p.client, to, MethodForward, forwarded)
	if err != nil {
		return Reply{}, forwardError(err, forwarded.Job)
	}
	defer answer.Cancel()
	var body bytes.Buffer
	for {
		part, err := answer.Next()
		body.Write(part)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Reply{}, forwardError(err, forwarded.Job)
		}
	}
	return Reply{Status: answer.Head().Status, Body: body.Bytes(), Cursor: answer.End().Cursor}, nil
}

// forwardError turns an error of the transport into a refusal: the holder is looked for again.
func forwardError(err error, job string) error {
	if refusal, ok := verdict.As(err); ok {
		return refusal
	}
	refusal := refusalNotHolder(job)
	if !errors.Is(err, peer.ErrUnsent) {
		refusal.Verdict = verdict.MayHaveRun
	}
	return refusal
}

// PeerCopier copies samples to other entries.
type PeerCopier struct {
	client *peer.Client
	hosts  func(job string) []netip.AddrPort
}

// NewPeerCopier returns a copier; hosts returns the other entries, the preferred ones first.
func NewPeerCopier(client *peer.Client, hosts func(job string) []netip.AddrPort) *PeerCopier {
	return &PeerCopier{client: client, hosts: hosts}
}

// Copy tries a few hosts in order.
func (p *PeerCopier) Copy(ctx context.Context, job string, sample CopiedSample) (netip.AddrPort, error) {
	err := errNoHost
	for i, host := range p.hosts(job) {
		if i == copyTries {
			break
		}
		_, err = peer.Call[copyMessage, copied](ctx, p.client, host, MethodCopySample, copyMessage{Job: job, Sample: sample})
		if err == nil {
			return host, nil
		}
	}
	return netip.AddrPort{}, errors.Wrapf(err, "copy of a sample of job %s", job)
}

// Fetch returns what the host holds of the named contents.
func (p *PeerCopier) Fetch(ctx context.Context, from netip.AddrPort, job string, digests []string) ([]CopiedSample, error) {
	var samples []CopiedSample
	for len(digests) > 0 {
		message := fetchMessage{Job: job, Digests: digests}
		answer, err := peer.Call[fetchMessage, fetched](ctx, p.client, from, MethodFetchSamples, message)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch samples of job %s", job)
		}
		if len(answer.Samples) == 0 {
			break
		}
		samples = append(samples, answer.Samples...)
		digests = without(digests, answer.Samples)
	}
	return samples, nil
}

func without(digests []string, samples []CopiedSample) []string {
	held := map[string]bool{}
	for _, sample := range samples {
		held[sample.Digest] = true
	}
	var left []string
	for _, digest := range digests {
		if !held[digest] {
			left = append(left, digest)
		}
	}
	return left
}
