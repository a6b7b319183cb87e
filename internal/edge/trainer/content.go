package trainer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
)

var errMissing = errors.New("content is not to be had now")

// contents gathers the contents of a manifest: from this host, from the coordinator that made the
// batch, and from the second hosts.
func (c *Coordinator) contents(ctx context.Context, job string, step int, manifest delivery.Manifest) (map[string]CopiedSample, error) {
	found := map[string]CopiedSample{}
	for _, ref := range manifest.SampleRefs {
		if sample, ok := c.shelf.get(job, ref.Digest); ok {
			found[ref.Digest] = sample
		}
	}
	c.fetch(ctx, job, step, manifest.Holder, missing(manifest, found, nil), found)
	for _, host := range copyHosts(manifest) {
		c.fetch(ctx, job, step, host, missing(manifest, found, &host), found)
	}
	if left := missing(manifest, found, nil); len(left) > 0 {
		return nil, errors.Wrapf(errMissing, "%d of %d samples", len(left), len(manifest.SampleRefs))
	}
	return found, nil
}

// missing returns the digests not found yet, of one second host only if host is given.
func missing(manifest delivery.Manifest, found map[string]CopiedSample, host *netip.AddrPort) []string {
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

// fetch asks one host and keeps what it has; a host that fails leaves the contents to others.
func (c *Coordinator) fetch(
	ctx context.Context, job string, step int, host netip.AddrPort, digests []string, found map[string]CopiedSample,
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
		// The digest in the manifest names the content: a wrong answer is never handed out.
		if delivery.Digest(sample.Raw) != sample.Digest {
			continue
		}
		found[sample.Digest] = sample
		// A full shelf only means that the next request fetches again.
		_ = c.shelf.put(job, sample)
	}
}
