package executor

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against a server that keeps its reads although it fails all of them, and against
// an ejection that takes the primary's requests away.
func TestEjectedServerGetsNoReadsButThePrimarysRequests(t *testing.T) {
	f := newFixture(t)
	f.x.opt.ReportLoads = true
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	f.server.failWith = func(*fakeConn, statement.Command) *verdict.Error {
		return verdict.New(verdict.Ran, verdict.StatementFailed, "failed")
	}
	p, err := f.x.pool("db")
	assert.NilError(t, err)
	// The catalog of the fixture has one server, which the cap would protect.
	for range 5 {
		f.do(read())
	}
	r := f.do(read())
	assert.Assert(t, !r.GetLoad().GetEjected())
	assert.Equal(t, f.x.opt.Counters.Get("ejections_capped"), int64(1))

	p.detector.Inherit(f.x.opt.Clock())
	r = f.do(read())
	assert.Equal(t, r.GetFailure().GetReason(), string(verdict.StatementFailed))
	assert.Assert(t, r.GetLoad().GetEjected(), "a failed probe ends no ejection")
	f.wantFailure(f.do(read()), verdict.NotRun, verdict.QueueFull)

	f.server.mu.Lock()
	f.server.failWith = nil
	f.server.mu.Unlock()
	assert.Assert(t, f.do(write()).GetFailure() == nil)
}

// Guards against reads that queue at a server whose home host knows nothing of it yet, and
// against a limit that the primary's requests do not wait for.
func TestReadsBeyondThePaceAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.x.opt.ReportLoads = true
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	running, release := make(chan struct{}), make(chan struct{})
	f.server.dropsAnswer = func(cmd statement.Command) bool {
		if cmd.Text == "READ slow" {
			f.server.mu.Unlock()
			close(running)
			<-release
			f.server.mu.Lock()
		}
		return false
	}
	slow := read()
	slow.Text = "READ slow"
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.do(slow)
	}()
	<-running
	r := f.do(read())
	f.wantFailure(r, verdict.NotRun, verdict.QueueFull)
	assert.Equal(t, r.GetLoad().GetPace(), uint32(1))
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	close(release)
	<-done
}

// holdStatement runs the request with another text and keeps it running until the returned
// function is called.
func (f *fixture) holdStatement(req *peerpb.ExecuteRequest) (release func()) {
	running, released, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	req.Text += " held"
	text := req.Text
	f.server.mu.Lock()
	f.server.dropsAnswer = func(cmd statement.Command) bool {
		if cmd.Text == text {
			f.server.mu.Unlock()
			close(running)
			<-released
			f.server.mu.Lock()
		}
		return false
	}
	f.server.mu.Unlock()
	go func() {
		defer close(done)
		f.do(req)
	}()
	<-running
	return func() {
		close(released)
		<-done
	}
}

// Guards against an ejection that lasts longer because a read that was to be a probe was
// never sent.
func TestProbeThatIsNotSentLeavesItsPlace(t *testing.T) {
	f := newFixture(t)
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	p, err := f.x.pool("db")
	assert.NilError(t, err)
	p.detector.Inherit(f.x.opt.Clock())
	f.server.idleConnsClosed = true
	f.wantFailure(f.do(read()), verdict.NotRun, verdict.ConnectionLost)
	f.server.mu.Lock()
	f.server.idleConnsClosed = false
	f.server.mu.Unlock()
	r := f.do(read())
	assert.Assert(t, r.GetFailure() == nil, r.GetFailure().GetMessage())
}

// Guards against reads that leave the last replica for the primary, or are refused, while
// all replicas are paced: a read whose wait is limited by its deadline alone has no
// alternative and waits within the limit.
func TestReadWithoutAlternativeWaitsWithinThePace(t *testing.T) {
	f := newFixture(t)
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	release := f.holdStatement(read())
	last := read()
	last.Customer, last.Server, last.Group = "c", "db", "g"
	last.TimeoutUs, last.WaitUs = (2 * time.Second).Microseconds(), (2 * time.Second).Microseconds()
	time.AfterFunc(50*time.Millisecond, release)
	r := f.x.Execute(context.Background(), last)
	assert.Assert(t, r.GetFailure() == nil, r.GetFailure().GetMessage())
}

// Guards against a server that restarts and gets all its slots at once, because its load
// from before the restart is still known.
func TestRestartedServerStartsLow(t *testing.T) {
	f := newFixture(t)
	loads := serverload.NewTable()
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: loads}
	loads.Record(serverload.Load{Server: "db", Slots: 6, MeasuredAt: f.x.opt.Clock()})
	p, err := f.x.pool("db")
	assert.NilError(t, err)
	assert.Assert(t, p.pace.IsFull(), "the former home host knew the server at full pace")
	p.server.Incarnation++
	p, err = f.x.pool("db")
	assert.NilError(t, err)
	assert.Assert(t, !p.pace.IsFull())
	assert.Equal(t, p.settings.Slots, p.pace.Allowed())
}

// Guards against an ejection that is prolonged, or ended, by a statement of the primary or
// one that was sent before the ejection.
func TestOnlyProbesDecideAnEjection(t *testing.T) {
	f := newFixture(t)
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		if cmd.Kind == statement.Write || cmd.Text == "READ a held" {
			return verdict.New(verdict.Ran, verdict.StatementFailed, "failed")
		}
		return nil
	}
	p, err := f.x.pool("db")
	assert.NilError(t, err)
	release := f.holdStatement(read())
	p.detector.Inherit(f.x.opt.Clock())
	release()
	assert.Assert(t, f.do(write()).GetFailure() != nil)
	assert.Equal(t, f.x.opt.Counters.Get("servers_ejected"), int64(0))
	primary := read()
	primary.Primary = true
	for range 10 {
		assert.Assert(t, f.do(primary).GetFailure() == nil)
	}
	assert.Equal(t, f.x.opt.Counters.Get("servers_restored"), int64(0))
	for range 5 {
		assert.Assert(t, f.do(read()).GetFailure() == nil)
	}
	assert.Equal(t, f.x.opt.Counters.Get("servers_restored"), int64(1))
}

// Guards against one failed opening of a connection that ejects a server, because it
// counts once for each request that waits for it.
func TestFailedOpeningCountsOnce(t *testing.T) {
	f := newFixture(t)
	f.x.opt.ContentionControl = true // one slot, so one opening at a time
	f.x.opt.Supervision = Supervision{Enabled: true, Loads: serverload.NewTable()}
	f.server.dialDelay = 50 * time.Millisecond
	f.server.dialErr = verdict.New(verdict.NotRun, verdict.BackendUnreachable, "no route")
	p, err := f.x.pool("db")
	assert.NilError(t, err)
	assert.Equal(t, p.settings.Slots, 1)
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() {
			r := write() // the primary's requests are not paced
			r.Customer = "c"
			f.wantFailure(f.do(r), verdict.NotRun, verdict.BackendUnreachable)
		})
	}
	requests.Wait()
	dials := int(f.x.opt.Counters.Get("backend_connections_failed"))
	assert.Assert(t, dials < 5, "%d openings", dials)
	assert.Equal(t, f.x.opt.Counters.Get("ejections_capped"), int64(0))

	// Failed openings eject a server as other failures do.
	for f.x.opt.Counters.Get("ejections_capped") == 0 {
		assert.Assert(t, f.x.opt.Counters.Get("backend_connections_failed") < 8)
		f.wantFailure(f.do(write()), verdict.NotRun, verdict.BackendUnreachable)
	}

	// A probe that needs a connection fails with it.
	p.mu.Lock()
	p.detector.Inherit(f.x.opt.Clock())
	p.mu.Unlock()
	f.wantFailure(f.do(read()), verdict.NotRun, verdict.BackendUnreachable)
	assert.Equal(t, f.x.opt.Counters.Get("servers_ejected"), int64(1))
}
