package soak

import "time"

const (
	// maxCopyAge is the greatest age of the copy from which the store comes back.
	maxCopyAge = 8 * time.Second
	// maxRewriteDelay is the longest time after which the operator and the databases write
	// again what the store has lost.
	maxRewriteDelay = 600 * time.Millisecond
)

// restoreStore makes the store come back from an older copy after the duration of the event.
// The target selects the age of the copy and when the lost rows of others are written again.
// One restore runs at a time: an event that begins during another one has no effect.
func (r *run) restoreStore(e Event) {
	if !r.restores.TryLock() {
		return
	}
	defer r.restores.Unlock()
	age := time.Duration(e.Target%16+1) * maxCopyAge / 16
	rewriteDelay := time.Duration(e.Target/16%4) * maxRewriteDelay / 3
	r.env.Store.Restore(age, e.Duration, rewriteDelay)
}
