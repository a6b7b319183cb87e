package trainer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// keepTimeout bounds the copy of a manifest to a second host. The trainer waits for it, so that a host that doesn't answer
// must cost it less than a batch takes; without the copy the batch lives as long as this host.
const keepTimeout = 500 * time.Millisecond

// keep puts a manifest that could not be written among the contents of this and a second host, and returns what the
// trainer's cursor says of it; nil if no host has room. See delivery.ManifestLocation for the failure that this guards against.
func (c *Coordinator) keep(ctx context.Context, job string, step int, manifest delivery.Manifest) *delivery.ManifestLocation {
	raw, err := json.Marshal(manifest)
	if err != nil {
		return nil
	}
	kept := &delivery.ManifestLocation{Digest: delivery.Digest(raw)}
	content := CopiedSample{Step: step, Digest: kept.Digest, Raw: raw}
	if err := c.shelf.put(job, content); err == nil {
		kept.Hosts = append(kept.Hosts, c.deps.Self)
	}
	if host, ok := c.copyOf(ctx, job, content); ok {
		kept.Hosts = append(kept.Hosts, host)
	}
	if len(kept.Hosts) == 0 {
		return nil
	}
	return kept
}

func (c *Coordinator) copyOf(ctx context.Context, job string, content CopiedSample) (netip.AddrPort, bool) {
	if c.deps.Copier == nil {
		return netip.AddrPort{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	host, err := c.deps.Copier.Copy(ctx, job, content)
	return host, err == nil
}

// askWithManifest finds the manifest of a batch that an earlier coordinator handed out, and asks the job again with it.
func (c *Coordinator) askWithManifest(ctx context.Context, r *runner, request Forwarded, kept delivery.ManifestNeeded) delivery.Result {
	manifest, ok := c.recall(ctx, r.job, kept)
	if !ok {
		// The host may be out of reach for a moment only; a refusal for good would end the job.
		return delivery.Refused{Refusal: verdict.Refuse(verdict.NotRun, verdict.ReasonServerLost,
			retryInterval, "no host that holds batch %d can be reached now", request.Batch)}
	}
	ask, err := c.ask(request)
	if err != nil {
		return delivery.Refused{Refusal: verdict.From(err)}
	}
	event, ok := ask.event.(delivery.BatchRequested)
	if !ok {
		return nil
	}
	event.Manifest = &manifest
	ask.event = event
	return r.ask(ctx, ask)
}

// recall returns the manifest that a signed cursor names, from this host or one of its holders.
func (c *Coordinator) recall(ctx context.Context, job string, named delivery.ManifestNeeded) (delivery.Manifest, bool) {
	found := map[string]CopiedSample{}
	digests := []string{named.ManifestLocation.Digest}
	if content, ok := c.shelf.get(job, named.ManifestLocation.Digest); ok {
		found[named.ManifestLocation.Digest] = content
	}
	for _, host := range named.ManifestLocation.Hosts {
		if len(found) == 0 {
			c.fetch(ctx, job, named.Step, host, digests, found)
		}
	}
	var manifest delivery.Manifest
	err := json.Unmarshal(found[named.ManifestLocation.Digest].Raw, &manifest)
	return manifest, err == nil
}
