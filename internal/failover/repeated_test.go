package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// Guards against a primary that is given up, because a report from before its promotion was
// repeated.
func TestRepeatedReportDoesNotEndTheLead(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	assert.Equal(t, c.m.Phase(), Leading)
	old := statement.Status{Term: 1, Position: statement.Position{Term: 1, Number: 10}, Repeated: true}
	c.m.OnPollResult(c.now, c.now, "a", old, nil, false)
	assert.Equal(t, c.m.Phase(), Leading)
}

// Guards against the promotion of a replica without acknowledged commits: the position of the
// primary counts as current because of a repeated report. The first report dates from before
// the last commits of the last owner.
func TestRepeatedReportIsNotACurrentPosition(t *testing.T) {
	for _, phase := range []Phase{WaitingForPromotion, Leading} {
		report := statement.Status{Primary: true, Term: 1, Position: statement.Position{Term: 1, Number: 10}}
		m := NewMachine()
		m.epoch, m.phase, m.target, m.primary = 1, phase, "a", "a"
		m.group = Group{Members: []Member{{Name: "a", Usable: true}, {Name: "b", Usable: true}}, SyncReplicas: 1}
		m.lastPosition = report.Position
		m.phaseSince, m.usableSince = 2*time.Second, 2*time.Second
		report.Repeated = true
		m.OnPollResult(3*time.Second, 3*time.Second, "a", report, nil, false)
		m.Tick(3*time.Second, 1, true, m.group)
		assert.Equal(t, m.Phase(), Leading)
		assert.Assert(t, !m.hasAllCommits(report.Position), "from phase %v", phase)
	}
}

// Guards against a position that stays out of date, and reads that miss commits: no new report is asked
// for while the owner has no current position of the primary.
func TestOwnerWithoutACurrentPositionNeedsANewReport(t *testing.T) {
	for _, phase := range []Phase{WaitingForPromotion, Leading} {
		m := NewMachine()
		m.epoch, m.phase, m.target, m.primary = 1, phase, "a", "a"
		m.phaseSince, m.usableSince = 2*time.Second, 2*time.Second
		m.reports["a"] = serverReport{pollSentAt: time.Second}
		assert.Assert(t, m.needsNewReport("a"), "in phase %v", phase)
	}
}
