package trainer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// manifestCopyTimeout limits the copy of a manifest to a second host. The trainer waits for the copy, so a host that
// doesn't respond must cost less time than a batch takes. Without the copy the batch is lost together with this host.
const manifestCopyTimeout = 500 * time.Millisecond

// storeManifest stores a manifest that could not be written to the platform in the content stores of this and a second
// host. It returns the location for the trainer's cursor, or nil if no host stored it. See delivery.ManifestLocation for
// the failure that this guards against.
func (c *Coordinator) storeManifest(ctx context.Context, job string, step int, manifest delivery.Manifest) *delivery.ManifestLocation {
	raw, err := json.Marshal(manifest)
	if err != nil {
		return nil
	}
	location := &delivery.ManifestLocation{Digest: delivery.Digest(raw)}
	content := EncodedSample{Step: step, Digest: location.Digest, Raw: raw}
	if err := c.contentStore.put(job, content); err == nil {
		location.Hosts = append(location.Hosts, c.deps.Self)
	}
	if host, ok := c.copyToSecondHost(ctx, job, content); ok {
		location.Hosts = append(location.Hosts, host)
	}
	if len(location.Hosts) == 0 {
		return nil
	}
	return location
}

func (c *Coordinator) copyToSecondHost(ctx context.Context, job string, content EncodedSample) (netip.AddrPort, bool) {
	if c.deps.Copier == nil {
		return netip.AddrPort{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, manifestCopyTimeout)
	defer cancel()
	host, err := c.deps.Copier.Copy(ctx, job, content)
	return host, err == nil
}

// retryWithManifest finds the manifest of a batch that an earlier coordinator delivered, and submits the request again
// with it.
func (c *Coordinator) retryWithManifest(
	ctx context.Context, r *runner, request ForwardedRequest, needed delivery.ManifestNeeded,
) delivery.Result {
	manifest, ok := c.findManifest(ctx, r.job, needed)
	if !ok {
		// The host may be unreachable only for a moment. A permanent refusal would end the job.
		return delivery.Refused{Refusal: verdict.Refuse(verdict.NotRun, verdict.ReasonServerLost,
			retryInterval, "no host that holds batch %d can be reached now", request.Batch)}
	}
	message, err := c.newRequestMessage(request)
	if err != nil {
		return delivery.Refused{Refusal: verdict.From(err)}
	}
	event, ok := message.event.(delivery.BatchRequested)
	if !ok {
		return nil
	}
	event.Manifest = &manifest
	message.event = event
	return r.submit(ctx, message)
}

// findManifest returns the manifest that a signed cursor locates, from this host or from one of the hosts it names.
func (c *Coordinator) findManifest(ctx context.Context, job string, needed delivery.ManifestNeeded) (delivery.Manifest, bool) {
	found := map[string]EncodedSample{}
	digests := []string{needed.ManifestLocation.Digest}
	if content, ok := c.contentStore.get(job, needed.ManifestLocation.Digest); ok {
		found[needed.ManifestLocation.Digest] = content
	}
	for _, host := range needed.ManifestLocation.Hosts {
		if len(found) == 0 {
			c.fetch(ctx, job, needed.Step, host, digests, found)
		}
	}
	var manifest delivery.Manifest
	err := json.Unmarshal(found[needed.ManifestLocation.Digest].Raw, &manifest)
	return manifest, err == nil
}
