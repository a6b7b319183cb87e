package trainer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

var errContentUnavailable = errors.New("content is not to be had now")

// gatherContents returns the contents of all samples of a manifest by digest. It looks on this host, on the
// coordinator that made the batch, and on the hosts that hold copies, in this order.
func (c *Coordinator) gatherContents(
	ctx context.Context, job string, step int, manifest delivery.Manifest,
) (map[string]EncodedSample, error) {
	found := map[string]EncodedSample{}
	for _, ref := range manifest.SampleRefs {
		if sample, ok := c.contentStore.get(job, ref.Digest); ok {
			found[ref.Digest] = sample
		}
	}
	c.fetch(ctx, job, step, manifest.Holder, missingDigests(manifest, found, nil), found)
	for _, host := range copyHosts(manifest) {
		c.fetch(ctx, job, step, host, missingDigests(manifest, found, &host), found)
	}
	if left := missingDigests(manifest, found, nil); len(left) > 0 {
		return nil, errors.Wrapf(errContentUnavailable, "%d of %d samples", len(left), len(manifest.SampleRefs))
	}
	return found, nil
}

// missingDigests returns the digests that were not found yet. If host is not nil, only those copied to it count.
func missingDigests(manifest delivery.Manifest, found map[string]EncodedSample, host *netip.AddrPort) []string {
	var digests []string
	for _, ref := range manifest.SampleRefs {
		if _, ok := found[ref.Digest]; !ok && (host == nil || ref.CopyHost == *host) {
			digests = append(digests, ref.Digest)
		}
	}
	return digests
}

func copyHosts(manifest delivery.Manifest) []netip.AddrPort {
	var hosts []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, ref := range manifest.SampleRefs {
		if !known[ref.CopyHost] {
			known[ref.CopyHost] = true
			hosts = append(hosts, ref.CopyHost)
		}
	}
	return hosts
}

// fetch requests contents from one host and adds them to found. Errors are ignored, because other hosts may
// hold the same contents.
func (c *Coordinator) fetch(
	ctx context.Context, job string, step int, host netip.AddrPort, digests []string, found map[string]EncodedSample,
) {
	if len(digests) == 0 || !host.IsValid() || host == c.deps.Self || c.deps.Copier == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	samples, err := c.deps.Copier.Fetch(ctx, host, job, digests)
	if err != nil {
		return
	}
	for _, sample := range samples {
		sample.Step = step
		// Never deliver a content that does not match the digest in the manifest.
		if delivery.Digest(sample.Raw) != sample.Digest {
			continue
		}
		found[sample.Digest] = sample
		// If the content store is full, the next request fetches the content again.
		_ = c.contentStore.put(job, sample)
	}
}
