package failover

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against latency metrics from which the phases of a failover gap can't be
// told apart.
func TestGapIsMeasuredByPhase(t *testing.T) {
	latencies := telemetry.NewLatencies(telemetry.NewCounters())
	s := New(Options{Latencies: latencies})
	g := &groupState{}
	for i, p := range []Phase{Surveying, Ordering, WaitingForPromotion, Leading, CatchingUp, Ordering, Leading} {
		now := time.Duration(i+1) * 100 * time.Millisecond
		s.recordPhaseLatency(now, g, p)
		g.loggedPhase, g.phaseSince = p, now
	}
	assert.Equal(t, latencies.Count("failover_surveying"), int64(1))
	assert.Equal(t, latencies.Count("failover_ordering"), int64(2))
	assert.Equal(t, latencies.Count("failover_waiting_for_lead"), int64(1))
	assert.Equal(t, latencies.Count("failover_leading"), int64(0))
	assert.Equal(t, latencies.Count(GapLatency), int64(2))
}

// fakeRoles holds the role of every group while held is set.
type fakeRoles struct{ held bool }

func (r *fakeRoles) UsableEpoch(string) (uint64, bool)   { return 1, r.held }
func (r *fakeRoles) AssignedEpoch(string) (uint64, bool) { return 1, r.held }
func (r *fakeRoles) RequestNewEpoch(string)              {}

// Guards against acknowledging a commit of a group with synchronous replicas after the
// role was lost or while a successor that may lack it takes over, and against delays in
// other groups.
func TestConfirmCommit(t *testing.T) {
	p := statement.Position{Term: 1, Number: 11}
	for name, x := range map[string]struct {
		sync  int
		held  bool
		phase Phase
		want  bool
	}{
		"primary in use":                  {1, true, Leading, true},
		"role lost":                       {1, false, Leading, false},
		"primary is being replaced":       {1, true, WaitingForPromotion, false},
		"asynchronous, being replaced":    {0, true, WaitingForPromotion, true},
		"asynchronous, the role was lost": {0, false, Idle, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Roles: &fakeRoles{x.held}, Log: &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters()})
			m := s.stateOf("g").machine
			m.group.SyncReplicas, m.phase, m.primary, m.target = x.sync, x.phase, "a", "b"
			limit := 3 * commitPollInterval
			if x.sync == 0 {
				limit = time.Hour // must not be waited for
			}
			assert.Equal(t, s.ConfirmCommit(context.Background(), "g", "a", p, limit), x.want)
		})
	}
}

// monitorDialer opens connections that report the next of the positions, as a repetition
// from the second report of a connection on.
type monitorDialer struct {
	statement.Dialer
	opened  int
	reports []uint64
	err     error
}

type monitorConn struct {
	statement.Conn
	d       *monitorDialer
	queries int
	unread  bool
}

func (d *monitorDialer) Dial(context.Context, statement.Target) (statement.Conn, error) {
	if d.err != nil {
		return nil, d.err
	}
	d.opened++
	return &monitorConn{d: d}, nil
}

func (c *monitorConn) Status(time.Time) (statement.Status, error) {
	c.queries++
	n := c.d.reports[0]
	c.d.reports = c.d.reports[1:]
	return statement.Status{Term: 1, Position: statement.Position{Term: 1, Number: n}, Repeated: c.queries > 1}, nil
}

func (c *monitorConn) IsOpen() bool { return !c.unread }
func (c *monitorConn) Close()       {}

// monitorTargets knows the address of every server.
type monitorTargets struct{ Directory }

func (monitorTargets) Target(string) (statement.Target, bool) { return statement.Target{}, true }

// Guards against the promotion of a server that lags, because a report of another one was
// the repetition of an earlier report.
func TestRepeatedReportIsNotUsedForAChoice(t *testing.T) {
	d := &monitorDialer{reports: []uint64{7, 7, 9, 7, 7}}
	s := New(Options{Directory: monitorTargets{}, Dialer: d, Counters: telemetry.NewCounters()})
	g := s.stateOf("g")
	query := func() uint64 {
		status, err := s.queryStatus(context.Background(), g, "a")
		assert.NilError(t, err)
		return status.Position.Number
	}
	g.machine.phase = Leading
	assert.Equal(t, query(), uint64(7))
	g.machine.phase, g.machine.phaseSince = Surveying, time.Second
	assert.Equal(t, query(), uint64(9), "the report of a new connection")
	assert.Equal(t, d.opened, 2)
	g.machine.contact("a").newReportAt = 2 * time.Second
	assert.Equal(t, query(), uint64(7))
	assert.Equal(t, d.opened, 2, "the choice has a new report already")
	g.machine.contact("a").newReportAt = 0
	d.err = verdict.New(verdict.NotRun, verdict.ConnectionLimit, "too many connections")
	assert.Equal(t, query(), uint64(7), "better than no report")
}

// Guards against reports that are each one query old, because a repetition has arrived between
// two queries.
func TestMonitoringConnectionWithUnreadBytesIsReplaced(t *testing.T) {
	d := &monitorDialer{reports: []uint64{7, 8}}
	s := New(Options{Directory: monitorTargets{}, Dialer: d, Counters: telemetry.NewCounters()})
	g := s.stateOf("g")
	for n := range 2 {
		status, err := s.queryStatus(context.Background(), g, "a")
		assert.NilError(t, err)
		assert.Assert(t, !status.Repeated)
		assert.Equal(t, d.opened, n+1)
		g.monitorConns["a"].(*monitorConn).unread = true
	}
}

// Guards against reads that miss commits, because a repeated report with an earlier position
// has replaced a later position of the primary.
func TestSampleKeepsTheLaterPosition(t *testing.T) {
	g := &groupState{}
	g.recordSample(time.Second, statement.Position{Term: 2, Number: 9})
	g.recordSample(2*time.Second, statement.Position{Term: 2, Number: 7})
	assert.Equal(t, g.newestSample, positionSample{polledAt: 2 * time.Second, position: statement.Position{Term: 2, Number: 9}})
}
