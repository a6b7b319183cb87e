package delivery

import (
	"fmt"
)

// checkBatchUnchanged fails if a trainer whose cursor came with a batch is given that batch with other
// samples.
func (s *simulation) checkBatchUnchanged(ready BatchReady, digest string, cursor *Cursor) {
	if cursor == nil || cursor.Step != ready.Step || cursor.Batch != ready.Manifest.Batch {
		return
	}
	if accepted := s.acceptedBatches[batchKey(ready)]; accepted != digest {
		s.t.Fatalf("the trainer received batch %s as\n%s\nand is now given\n%s", batchKey(ready), accepted, digest)
	}
}

func batchKey(ready BatchReady) string { return fmt.Sprintf("%d/%d", ready.Step, ready.Manifest.Batch) }

// namesManifest reports whether the cursor locates the manifest, so that any coordinator may repeat the batch
// to the trainer.
func namesManifest(cursor *Cursor, digest string) bool {
	return cursor != nil && cursor.ManifestLocation != nil && cursor.ManifestLocation.Digest == digest
}

// checkFinalRefusal fails if a batch was refused permanently without any outage, or to a trainer whose cursor
// locates its manifest. Other such refusals are of requests that the trainer had abandoned for a later answer
// to an earlier request.
func (s *simulation) checkFinalRefusal(refused Refused, cursor *Cursor) {
	if s.outages == 0 || cursor != nil && cursor.ManifestLocation != nil {
		s.t.Fatalf("refused permanently, cursor %+v: %s", cursor, refused.Refusal.Detail)
	}
}

// checkCursorNotBehind fails if the trainer would get a cursor that is behind the one that it sent.
func (s *simulation) checkCursorNotBehind(sent *Cursor, returned Cursor) {
	if sent != nil && (returned.Step < sent.Step || returned.Step == sent.Step && returned.Batch < sent.Batch) {
		s.t.Fatalf("a version was answered with the cursor of step %d, batch %d after step %d, batch %d",
			returned.Step, returned.Batch, sent.Step, sent.Batch)
	}
}

// checkOfflineBatch checks a batch that was sent without being written.
func (s *simulation) checkOfflineBatch(c *coordinator, ready BatchReady, cursor *Cursor) {
	s.offlineBatches++
	if cursor == nil || s.leaseHolders[cursor.Fencing] != c.id {
		s.t.Fatalf("process %d proceeded offline from a cursor that it did not issue: %+v", c.id, cursor)
	}
	// A batch that was sent offline may be repeated after the platform is back.
	if repeated := c.sentManifests[fmt.Sprint(ready.Manifest)]; !repeated {
		s.checkOfflineAllowed(c)
	}
	for _, ref := range ready.Manifest.SampleRefs {
		if ref.OldestVersion < c.writtenVersion-s.stalenessBound {
			s.t.Fatalf("proceeded offline with a sample of version %d after writing model version %d, staleness bound %d",
				ref.OldestVersion, c.writtenVersion, s.stalenessBound)
		}
	}
}

// checkOfflineAllowed checks that the process was allowed to make a transition without writing it.
func (s *simulation) checkOfflineAllowed(c *coordinator) {
	if !c.readFailed {
		s.t.Fatalf("process %d proceeded offline though its last read succeeded", c.id)
	}
	if c.job.fencingNumber() != s.fencingNumber {
		s.t.Fatalf("process %d proceeded offline under fencing number %d though the newest is %d",
			c.id, c.job.fencingNumber(), s.fencingNumber)
	}
}

func (s *simulation) checkStaleness(manifest Manifest) {
	for _, ref := range manifest.SampleRefs {
		if ref.OldestVersion < manifest.ModelVersion-s.stalenessBound {
			s.t.Fatalf("stale sample: version %d at model version %d, staleness bound %d",
				ref.OldestVersion, manifest.ModelVersion, s.stalenessBound)
		}
	}
}
