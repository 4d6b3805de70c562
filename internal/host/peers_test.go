package host

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
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

// Guards against a commit that is refused for the values of its session, after which the
// transaction would hold its connection and its locks until the idle limit.
func TestEndOfTransactionNeedsNoReservation(t *testing.T) {
	x := executor.New(executor.Options{Authority: &contextRecorder{}, Clock: clock.Boot, Counters: telemetry.NewCounters(), Log: &log.Logger{Level: log.PanicLevel}}, 1)
	api := peerAPI{
		calls:  &peerCalls{executor: x},
		budget: budget.New(1<<20, clock.Boot, &log.Logger{Level: log.PanicLevel}, telemetry.NewCounters()),
	}
	execute := func(kind statement.Kind, transaction uint64) verdict.Reason {
		resp, err := api.Execute(context.Background(), &peerpb.ExecuteRequest{
			Kind: uint32(kind), Transaction: transaction, Primary: true, Values: map[string]string{"v": strings.Repeat("x", 100<<10)}, TimeoutUs: 1000,
		})
		assert.NilError(t, err)
		return verdict.Reason(resp.GetFailure().GetReason())
	}
	assert.Equal(t, execute(statement.Read, 0), verdict.MemoryLimit)
	assert.Equal(t, execute(statement.Read, 1), verdict.MemoryLimit)
	assert.Assert(t, execute(statement.Commit, 1) != verdict.MemoryLimit)
	assert.Assert(t, execute(statement.Rollback, 1) != verdict.MemoryLimit)
}
