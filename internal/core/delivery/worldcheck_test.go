package delivery

import (
	"fmt"
)

// checkRepeated fails if a trainer whose cursor came with a batch is given the batch with other samples.
func (w *world) checkRepeated(ready BatchReady, digest string, cursor *Cursor) {
	if cursor == nil || cursor.Step != ready.Step || cursor.Batch != ready.Manifest.Batch {
		return
	}
	if taken := w.taken[batchKey(ready)]; taken != digest {
		w.t.Fatalf("the trainer has batch %s as\n%s\nand is given\n%s", batchKey(ready), taken, digest)
	}
}

func batchKey(ready BatchReady) string { return fmt.Sprintf("%d/%d", ready.Step, ready.Manifest.Batch) }

// names says whether a cursor came with the batch of a kept manifest, which any coordinator may repeat to its trainer.
func names(cursor *Cursor, digest string) bool {
	return cursor != nil && cursor.Kept != nil && cursor.Kept.Digest == digest
}

// checkRefused fails if a batch was refused for good without an outage, or to a trainer whose cursor came with it. What is left
// are requests that the trainer gave up for a later answer to an earlier one.
func (w *world) checkRefused(no Refused, cursor *Cursor) {
	if w.outages == 0 || cursor != nil && cursor.Kept != nil {
		w.t.Fatalf("refused for good, cursor %+v: %s", cursor, no.Refusal.Detail)
	}
}

// checkForward fails if the trainer would be given a cursor behind the one that it sent.
func (w *world) checkForward(sent *Cursor, given Cursor) {
	if sent != nil && (given.Step < sent.Step || given.Step == sent.Step && given.Batch < sent.Batch) {
		w.t.Fatalf("a version was answered with the cursor of step %d, batch %d after step %d, batch %d",
			given.Step, given.Batch, sent.Step, sent.Batch)
	}
}

// checkAlone checks a batch that was handed out without being written.
func (w *world) checkAlone(c *coordinator, ready BatchReady, cursor *Cursor) {
	w.alone++
	if cursor == nil || w.issuers[cursor.Fencing] != c.id {
		w.t.Fatalf("process %d moved alone past a cursor that is not its own: %+v", c.id, cursor)
	}
	// A batch that was handed out alone is repeated also when the platform is back.
	if repeated := c.given[fmt.Sprint(ready.Manifest)]; !repeated {
		w.checkMove(c)
	}
	for _, ref := range ready.Manifest.Refs {
		if ref.Oldest < c.landed-w.bound {
			w.t.Fatalf("moved alone with a sample of version %d, though it wrote version %d, bound %d", ref.Oldest, c.landed, w.bound)
		}
	}
}

// checkMove checks the ground for a move that was not written.
func (w *world) checkMove(c *coordinator) {
	if !c.unread {
		w.t.Fatalf("process %d moved alone though its last read succeeded", c.id)
	}
	if c.job.fence() != w.fence {
		w.t.Fatalf("process %d moved alone under lease %d though another holds lease %d", c.id, c.job.fence(), w.fence)
	}
}

func (w *world) checkBound(manifest Manifest) {
	for _, ref := range manifest.Refs {
		if ref.Oldest < manifest.ModelVersion-w.bound {
			w.t.Fatalf("stale sample: version %d at current %d, bound %d", ref.Oldest, manifest.ModelVersion, w.bound)
		}
	}
}
