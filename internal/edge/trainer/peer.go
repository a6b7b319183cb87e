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

// The peer methods that entries serve for each other.
const (
	MethodForward      peer.Method = "trainerForward"
	MethodCopySample   peer.Method = "copySample"
	MethodFetchSamples peer.Method = "fetchSamples"
)

const (
	// fetchBytes limits one response of fetchSamples, as a frame holds at most 16 MiB. The client requests the rest
	// with further calls.
	fetchBytes = 4 << 20
	// copyTries is how many hosts one Copy call tries. The sample is then retried after a delay.
	copyTries = 3
	// The response to a forwarded request takes some milliseconds to arrive. A tenth of a short deadline, and 200 ms
	// of a long one, are enough even if the host is busy.
	forwardShare     = 10
	maxForwardMargin = 200 * time.Millisecond
)

var errNoHost = errors.New("no host accepted the copy")

type copyRequest struct {
	Job    string        `msgpack:"j"`
	Sample EncodedSample `msgpack:"s"`
}

// copyReply confirms that a copy is stored.
type copyReply struct{}

type fetchRequest struct {
	Job     string   `msgpack:"j"`
	Digests []string `msgpack:"d"`
}

type fetchReply struct {
	Samples []EncodedSample `msgpack:"s"`
}

// forwardTrailer ends the response stream of a forwarded request.
type forwardTrailer struct {
	Cursor string `msgpack:"c"`
}

// RegisterPeer registers the methods that other entries call.
func (c *Coordinator) RegisterPeer(registry *peer.Registry) {
	peer.HandleStream(registry, MethodForward, c.serveForward)
	peer.Handle(registry, MethodCopySample, c.serveCopy)
	peer.Handle(registry, MethodFetchSamples, c.serveFetch)
}

// serveForward serves a forwarded request as the job's coordinator. It never forwards the request again, because two
// hosts that each take the other for the holder would forward it forever. A host that is isolated from the platform
// and the relays refuses the request: it can't tell its own isolation from an outage of the platform, and would
// advance a job that a successor already serves.
func (c *Coordinator) serveForward(ctx context.Context, forwarded ForwardedRequest, out peer.Sink) (forwardTrailer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(forwarded.Remaining, maxTimeout)-forwardMargin(forwarded.Remaining))
	defer cancel()
	r, ok := c.runner(forwarded.Job)
	if !ok {
		return forwardTrailer{}, refusalNotHolder(forwarded.Job)
	}
	now := time.Now()
	if local, _, _ := r.locateCoordinator(now); !local || !c.fresh(now) {
		return forwardTrailer{}, refusalNotHolder(forwarded.Job)
	}
	reply, err := c.serveAsCoordinator(ctx, r, forwarded)
	if err != nil {
		return forwardTrailer{}, verdict.From(err)
	}
	// The request may have waited here for minutes, and this host may be isolated by now.
	if !c.fresh(time.Now()) {
		refusal := refusalNotHolder(forwarded.Job)
		refusal.Verdict = verdict.MayHaveRun
		return forwardTrailer{}, refusal
	}
	if err := out.Head(request.AnswerHead{Status: reply.Status}); err != nil {
		return forwardTrailer{}, errors.Wrap(err, forwarded.Job)
	}
	if _, err := out.Write(reply.Body); err != nil {
		return forwardTrailer{}, errors.Wrap(err, forwarded.Job)
	}
	return forwardTrailer{Cursor: reply.Cursor}, nil
}

// forwardMargin returns the time to subtract from a forwarded deadline, so that a refusal reaches the entry before
// the entry's own deadline.
func forwardMargin(remaining time.Duration) time.Duration {
	return min(remaining/forwardShare, maxForwardMargin)
}

func (c *Coordinator) serveCopy(_ context.Context, message copyRequest) (copyReply, error) {
	if err := c.contentStore.put(message.Job, message.Sample); err != nil {
		return copyReply{}, verdict.Refuse(verdict.NotRun, verdict.ReasonNoRoom,
			retryInterval, "copy: %v", err)
	}
	return copyReply{}, nil
}

func (c *Coordinator) serveFetch(_ context.Context, message fetchRequest) (fetchReply, error) {
	var answer fetchReply
	size := 0
	for _, digest := range message.Digests {
		sample, ok := c.contentStore.get(message.Job, digest)
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

// PeerForwarder forwards requests over the peer connections between entries.
type PeerForwarder struct{ client *peer.Client }

// NewPeerForwarder returns a forwarder that uses the client's connections.
func NewPeerForwarder(client *peer.Client) *PeerForwarder {
	return &PeerForwarder{client: client}
}

// Forward sends the request to the holder of the job's lease and returns its complete response. Errors are refusals.
func (p *PeerForwarder) Forward(ctx context.Context, to netip.AddrPort, forwarded ForwardedRequest) (Reply, error) {
	answer, err := peer.OpenStream[ForwardedRequest, forwardTrailer](ctx, p.client, to, MethodForward, forwarded)
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

// forwardError converts a transport error into a refusal after which the caller looks for the holder again.
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

// PeerCopier copies samples to other entries over peer connections.
type PeerCopier struct {
	client *peer.Client
	hosts  func(job string) []netip.AddrPort
}

// NewPeerCopier returns a copier. The hosts function returns the other entries in order of preference.
func NewPeerCopier(client *peer.Client, hosts func(job string) []netip.AddrPort) *PeerCopier {
	return &PeerCopier{client: client, hosts: hosts}
}

// Copy tries up to copyTries hosts in order and returns the first that confirms the copy.
func (p *PeerCopier) Copy(ctx context.Context, job string, sample EncodedSample) (netip.AddrPort, error) {
	err := errNoHost
	for i, host := range p.hosts(job) {
		if i == copyTries {
			break
		}
		_, err = peer.Call[copyRequest, copyReply](ctx, p.client, host, MethodCopySample, copyRequest{Job: job, Sample: sample})
		if err == nil {
			return host, nil
		}
	}
	return netip.AddrPort{}, errors.Wrapf(err, "copy of a sample of job %s", job)
}

// Fetch returns the contents with the given digests that the host holds.
func (p *PeerCopier) Fetch(ctx context.Context, from netip.AddrPort, job string, digests []string) ([]EncodedSample, error) {
	var samples []EncodedSample
	for len(digests) > 0 {
		message := fetchRequest{Job: job, Digests: digests}
		answer, err := peer.Call[fetchRequest, fetchReply](ctx, p.client, from, MethodFetchSamples, message)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch samples of job %s", job)
		}
		if len(answer.Samples) == 0 {
			break
		}
		samples = append(samples, answer.Samples...)
		digests = remainingDigests(digests, answer.Samples)
	}
	return samples, nil
}

// remainingDigests returns the digests of which samples holds no content.
func remainingDigests(digests []string, samples []EncodedSample) []string {
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
