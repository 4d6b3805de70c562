package host

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
)

// contextRecorder is an Authority without a primary that records whether the context
// of the request had ended.
type contextRecorder struct {
	executor.Authority
	err error
}

func (a *contextRecorder) AwaitPrimary(ctx context.Context, _ string, _ bool, _ time.Duration) (string, bool) {
	a.err = ctx.Err()
	return "", false
}

// Guards against rolling back a transaction because the context of a call within the
// process ended while the process was paused: the answer still reaches the caller.
func TestCallWithinTheProcessIsNotCancelled(t *testing.T) {
	authority := &contextRecorder{}
	calls := &peerCalls{
		directory: &directory{self: ownership.Host{Name: "self"}},
		executor:  executor.New(executor.Options{Authority: authority, Clock: clock.Boot}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	resp, err := calls.Execute(ctx, routing.Host{Name: "self"}, &peerpb.ExecuteRequest{Primary: true, Group: "g", TimeoutUs: 1000})
	assert.NilError(t, err)
	assert.Assert(t, resp.GetFailure() != nil)
	assert.NilError(t, authority.err)
}
