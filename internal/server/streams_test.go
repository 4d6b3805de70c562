package server

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait for a frozen host until their deadline, and
// against cancelling streams to healthy hosts with them.
func TestStreamsToUnreachableHostsAreCancelled(t *testing.T) {
	var s streams
	ctx, cancel := context.WithCancel(context.Background())
	frozen, healthy := s.add(ctx, "frozen"), s.add(ctx, "healthy")
	s.cancelUnreachable(func(host string) bool { return host == "healthy" })
	assert.Assert(t, frozen.Err() != nil)
	assert.NilError(t, healthy.Err())
	cancel()
	for end := time.Now().Add(5 * time.Second); len(s.snapshot()) > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "ended streams are kept")
	}
}
