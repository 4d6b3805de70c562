package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// pollFailureDelay is the time after which a poll of a server that is down fails.
	pollFailureDelay = 300 * time.Millisecond
	// failoverTime is the longest time from the loss of the primary to the use of
	// another one if all replicas report in time: suspicion, a poll that is under way
	// and one that fails, and the promotion.
	failoverTime = suspectTimeout + 2*pollFailureDelay + 600*time.Millisecond + 4*tickInterval
)

// loseAdvancedPrimary lets the primary a acknowledge commits up to 12, which c has
// received and b has not, and then fail.
func (c *fakeCluster) loseAdvancedPrimary() {
	c.run(time.Second)
	c.advance("a", 12)
	c.advance("c", 12)
	c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 12})
	c.down["a"], c.answerDelay["a"] = true, pollFailureDelay
}

// Guards against the promotion of a replica that lacks acknowledged commits because it
// answers first, while the reads at the most advanced one delay its answer.
func TestMostAdvancedReplicaIsAwaited(t *testing.T) {
	for name, x := range map[string]struct {
		delay time.Duration
		busy  int
	}{
		"answers 30 ms later":     {delay: 30 * time.Millisecond},
		"answers 250 ms later":    {delay: 250 * time.Millisecond},
		"is busy once":            {busy: 1},
		"is busy several times":   {busy: 5},
		"is busy, then slow":      {delay: 100 * time.Millisecond, busy: 1},
		"answers at once, as b":   {},
		"is slow once in a while": {delay: 75 * time.Millisecond, busy: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCluster(t)
			c.loseAdvancedPrimary()
			c.answerDelay["c"], c.busyAnswers["c"] = x.delay, x.busy
			c.run(failoverTime + x.delay)
			assert.Equal(t, c.primary(), "c")
		})
	}
}

// Guards against a long time without a primary when the most advanced replica is out of
// reach and commits need not be on a replica when they are acknowledged.
func TestUnreachableReplicaIsNotAwaitedForLong(t *testing.T) {
	c := newFakeCluster(t)
	c.loseAdvancedPrimary()
	c.down["c"], c.answerDelay["c"] = true, pollFailureDelay
	c.run(failoverTime + successorTimeout)
	assert.Equal(t, c.primary(), "b")
}

// Guards against the promotion of a less advanced replica while the most advanced one
// is alive but too busy to report its position.
func TestBusyReplicaCountsWithItsKnownPosition(t *testing.T) {
	c := newFakeCluster(t)
	c.loseAdvancedPrimary()
	c.m.RecordAnswer(c.now, "c", statement.Position{Term: 1, Number: 11})
	c.busyAnswers["c"] = 1000
	c.run(failoverTime + successorTimeout)
	c.busyAnswers["c"] = 0
	c.run(time.Second)
	assert.Equal(t, c.primary(), "c")
}

// Guards against the promotion of a server that was started again without its log, on
// account of a position that it had before.
func TestRestartedServerHasNoKnownPosition(t *testing.T) {
	c := newFakeCluster(t)
	c.loseAdvancedPrimary()
	c.m.RecordAnswer(c.now, "c", statement.Position{Term: 1, Number: 12})
	c.busyAnswers["c"] = 1000
	c.members[2].Incarnation++
	c.run(failoverTime + successorTimeout)
	assert.Equal(t, c.primary(), "b")
}

// Guards against the loss of acknowledged commits in a group with synchronous replicas
// when only a replica that lacks them can be asked.
func TestPromotionWaitsForSynchronousCommits(t *testing.T) {
	for name, prepare := range map[string]func(c *fakeCluster){
		"replica is silent":                     func(c *fakeCluster) { c.down["c"] = true },
		"replica is busy":                       func(c *fakeCluster) { c.busyAnswers["c"] = 1 << 30 },
		"replica was unregistered":              func(c *fakeCluster) { c.members = c.members[:2] },
		"another host takes over":               func(c *fakeCluster) { c.down["c"] = true; c.epoch += 2 },
		"primary and replica were unregistered": func(c *fakeCluster) { c.members = c.members[1:2] },
	} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCluster(t)
			c.syncReplicas = 1
			members := append([]Member(nil), c.members...)
			c.loseAdvancedPrimary()
			orders := len(c.orders)
			prepare(c)
			c.run(10 * time.Second)
			assert.Equal(t, len(c.orders), orders)
			c.members, c.down["c"], c.busyAnswers["c"] = members, false, 0
			c.run(2 * time.Second)
			assert.Equal(t, c.primary(), "c")
		})
	}
}

// Guards against a group with synchronous replicas that has no primary for longer than
// others when all replicas answer.
func TestSynchronousGroupIsReplacedWithoutDelay(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas = 1
	c.loseAdvancedPrimary()
	// A commit that no replica has received was not acknowledged.
	c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 13})
	c.run(failoverTime)
	assert.Equal(t, c.primary(), "c")
}

// Guards against the loss of commits that only a leaving replica has received. It is
// promoted and then replaced as planned.
func TestLeavingReplicaKeepsSynchronousCommits(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas = 1
	c.loseAdvancedPrimary()
	c.members[2].Usable = false
	c.run(failoverTime + successorTimeout)
	assert.Equal(t, c.orders[len(c.orders)-1].Server, "c")
	for _, n := range []string{"b", "c"} {
		c.advance(n, 12) // b receives the commits
	}
	c.run(time.Second)
	c.status["b"] = statement.Status{Term: c.status["c"].Term, Position: c.status["c"].Position}
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), "b")
}

// Guards against the choice of a successor from positions that are older than the last
// commit of the former owner, which may use the primary until its role has lapsed.
func TestChoiceWaitsForEndOfFormerOwner(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas, c.usable = 1, false
	c.down["a"] = true
	c.run(3 * time.Second)
	assert.Equal(t, len(c.orders), 0)
	c.advance("c", 12) // the former owner acknowledges a commit
	c.usable = true
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), "c")
}

// Guards against a planned replacement that ignores commits which were acknowledged
// after it began.
func TestPlannedReplacementWaitsForLateCommits(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas = 1
	c.run(time.Second)
	c.advance("b", 9)
	c.advance("c", 9)
	c.members[0].Usable = false
	c.run(100 * time.Millisecond)
	c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 11})
	orders := len(c.orders)
	c.advance("b", 10)
	c.run(time.Second)
	assert.Equal(t, len(c.orders), orders)
	c.advance("c", 11)
	c.run(time.Second)
	assert.Equal(t, c.primary(), "c")
}

// Guards against taking a server that has no free connection for one that is down.
func TestServerWithoutFreeConnectionIsBusy(t *testing.T) {
	for reason, want := range map[verdict.Reason]bool{
		verdict.ServerBusy: true, verdict.ConnectionLimit: true, verdict.BackendUnreachable: false, verdict.AnswerOverdue: false,
	} {
		assert.Equal(t, isBusy(verdict.New(verdict.NotRun, reason, "x")), want, string(reason))
	}
}

// lossRun simulates a group whose primary acknowledges commits that one replica has
// received, fails, and is replaced. It returns the acknowledged position and that of the
// new primary. It fails if no server is promoted.
func lossRun(t *testing.T, rt *rapid.T, syncReplicas int) (acknowledged, kept uint64) {
	c := newFakeCluster(t)
	c.syncReplicas = syncReplicas
	c.run(time.Second)
	delays := rapid.Map(rapid.IntRange(0, 14), func(n int) time.Duration { return time.Duration(n) * tickInterval })
	acknowledged = uint64(10)
	for range rapid.IntRange(0, 5).Draw(rt, "commits") {
		acknowledged++
		receiver := rapid.SampledFrom([]string{"b", "c"}).Draw(rt, "receiver")
		c.advance("a", acknowledged)
		c.advance(receiver, acknowledged)
		c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: acknowledged})
		c.run(delays.Draw(rt, "pause"))
	}
	c.down["a"], c.answerDelay["a"] = true, pollFailureDelay
	if rapid.Bool().Draw(rt, "takeover") {
		c.epoch += 2
	}
	for _, n := range []string{"b", "c"} {
		c.answerDelay[n] = delays.Draw(rt, "delay of "+n)
		c.busyAnswers[n] = rapid.IntRange(0, 20).Draw(rt, "busy answers of "+n)
	}
	c.members[1].Usable = rapid.Bool().Draw(rt, "b may get work")
	before := len(c.orders)
	for range 100 {
		c.run(100 * time.Millisecond)
		if len(c.orders) > before {
			return acknowledged, c.status[c.orders[before].Server].Position.Number
		}
	}
	rt.Fatalf("no server was promoted: %s, %s", c.m.phase, c.m.candidates())
	return
}

// Guards against the loss of an acknowledged commit of a group with synchronous
// replicas, whichever replica answers first, late or not at all for a while.
func TestNoSynchronousCommitIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if acknowledged, kept := lossRun(t, rt, 1); kept < acknowledged {
			rt.Fatalf("the promoted server has %d of %d commits", kept, acknowledged)
		}
	})
}

// Shows that the oracle of TestNoSynchronousCommitIsLost notices a choice that does not
// wait for every replica.
func TestLossIsNoticedWithoutTheWait(t *testing.T) {
	lost := false
	rapid.Check(t, func(rt *rapid.T) {
		acknowledged, kept := lossRun(t, rt, 0)
		lost = lost || kept < acknowledged
	})
	assert.Assert(t, lost)
}

// Guards against acknowledging a commit that the old primary accepted after its
// successor had been chosen, unless the successor has received it.
func TestCommitDuringReplacementIsConfirmed(t *testing.T) {
	for name, received := range map[string]bool{"received": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCluster(t)
			c.syncReplicas = 1
			c.run(time.Second)
			c.members[0].Usable = false
			c.run(200 * time.Millisecond) // a successor is ordered
			assert.Equal(t, c.m.Phase(), WaitingForPromotion)
			p := statement.Position{Term: 1, Number: 11}
			c.m.RecordAnswer(c.now, "a", p)
			kept, pending := c.m.KeepsCommit("a", p)
			assert.Assert(t, !kept && pending)
			if received {
				c.advance(c.m.target, 11)
			}
			c.run(100 * time.Millisecond)
			kept, pending = c.m.KeepsCommit("a", p)
			assert.Assert(t, kept == received && pending)
			c.run(time.Second)
			assert.Assert(t, c.primary() != "a")
			kept, pending = c.m.KeepsCommit("a", p)
			assert.Assert(t, kept == received && !pending)
		})
	}
}

// Guards against acknowledging a commit after the role was lost: the next owner may have
// chosen a successor without it.
func TestCommitIsNotConfirmedWithoutRole(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas = 1
	c.run(time.Second)
	p := statement.Position{Term: 1, Number: 11}
	c.m.RecordAnswer(c.now, "a", p)
	kept, _ := c.m.KeepsCommit("a", p)
	assert.Assert(t, kept)
	c.epoch = 0
	c.run(tickInterval)
	kept, pending := c.m.KeepsCommit("a", p)
	assert.Assert(t, !kept && !pending)
}

// Guards against statements that wait for a primary which does not answer and cannot be
// replaced: they are refused at once until it answers again.
func TestLostPrimaryWithoutSuccessorIsNotUsed(t *testing.T) {
	c := newFakeCluster(t)
	c.loseAdvancedPrimary()
	c.syncReplicas, c.down["c"] = 1, true
	c.run(failoverTime + stallTimeout)
	_, readable := c.m.ReadPrimary()
	assert.Assert(t, c.primary() == "" && !readable && !c.m.PrimaryExpected())
	c.down["a"], c.answerDelay["a"] = false, 0
	c.run(2*pollFailureDelay + 4*tickInterval)
	assert.Equal(t, c.primary(), "a")
	// The same holds for a host that takes the group over.
	c.down["a"] = true
	c.epoch += 2
	c.run(suspectTimeout + stallTimeout + 2*tickInterval)
	assert.Assert(t, c.primary() == "" && !c.m.PrimaryExpected())
}

// rollBackCommitsOf lets b lead a new term without the commits 9 to 12, which c has but
// is down, and then fail.
func (c *fakeCluster) rollBackCommitsOf(down string) {
	c.run(time.Second)
	c.advance("a", 12)
	c.advance(down, 12)
	c.advance("b", 8)
	c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 12})
	c.down["a"], c.down[down] = true, true
	c.run(failoverTime + successorTimeout)
	assert.Equal(c.t, c.primary(), "b")
	c.advance("b", 9)
	c.m.RecordAnswer(c.now, "b", statement.Position{Term: 2, Number: 9})
	c.down["b"], c.down[down] = true, false
}

// Guards against the promotion of a server that was out of reach during an earlier
// promotion and still has commits which that promotion rolled back: they would come
// back, and commits that were acknowledged since would be lost.
func TestRolledBackCommitsDoNotComeBack(t *testing.T) {
	c := newFakeCluster(t)
	c.rollBackCommitsOf("c")
	c.run(5 * time.Second)
	assert.Equal(t, c.primary(), "")
	// The failed primary is back, as a replica.
	c.status["b"] = statement.Status{Term: 2, Position: statement.Position{Term: 2, Number: 9}}
	c.down["b"] = false
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), "b")
}

// Guards against the same after several promotions, the last of which began above the
// position of the server.
func TestRolledBackCommitsDoNotComeBackLater(t *testing.T) {
	c := newFakeCluster(t)
	c.rollBackCommitsOf("c")
	c.down["c"], c.down["a"] = true, false
	c.status["a"] = statement.Status{Term: 2, Position: statement.Position{Term: 2, Number: 20}}
	c.run(failoverTime + successorTimeout)
	assert.Equal(t, c.primary(), "a")
	c.down["c"], c.down["a"] = false, true
	c.run(5 * time.Second)
	assert.Equal(t, c.primary(), "")
}

// Guards against the same after the group has moved to another host, which has seen
// none of the promotions.
func TestNewOwnerKnowsRolledBackCommits(t *testing.T) {
	c := newFakeCluster(t)
	c.rollBackCommitsOf("c")
	starts := c.m.TermStarts()
	c.m = NewMachine()
	c.m.LearnTermStarts(starts)
	c.pendingPoll = nil
	c.epoch += 2
	c.run(5 * time.Second)
	assert.Equal(t, c.primary(), "")
	c.status["b"] = statement.Status{Term: 2, Position: statement.Position{Term: 2, Number: 9}}
	c.down["b"] = false
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), "b")
}

// Guards against reports of promotions that arrive late, twice or in another order.
func TestTermStartsAreMergedByTerm(t *testing.T) {
	at := func(n uint64) statement.Position { return statement.Position{Term: 1, Number: n} }
	m := NewMachine()
	m.LearnTermStarts([]TermStart{{4, at(40)}, {2, at(20)}, {0, at(1)}, {3, statement.Position{}}})
	m.LearnTermStarts([]TermStart{{3, at(30)}, {2, at(25)}, {4, at(38)}})
	assert.DeepEqual(t, m.TermStarts(), []TermStart{{2, at(20)}, {3, at(30)}, {4, at(38)}})
	for term := range uint64(2 * maxTermStarts) {
		m.LearnTermStarts([]TermStart{{term + 10, at(50 + term)}})
	}
	assert.Equal(t, len(m.termStarts), maxTermStarts)
	assert.Equal(t, len(m.TermStarts()), sharedTermStarts)
}

// Guards against a group that has no primary for good when no other server is left.
func TestDivergedServerIsTheLastResort(t *testing.T) {
	c := newFakeCluster(t)
	c.rollBackCommitsOf("c")
	c.run(failoverTime + divergedTimeout + successorTimeout)
	assert.Equal(t, c.primary(), "c")
}

// Guards against a host whose memory grows with every server that was ever registered.
func TestUnregisteredServersAreForgotten(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	c.m.RecordAnswer(c.now, "x", statement.Position{Term: 1, Number: 1})
	c.members = c.members[:2]
	c.run(tickInterval)
	assert.Equal(t, len(c.m.contacts), 2)
	assert.Equal(t, len(c.m.reports), 2)
}

// Guards against the planned replacement of a primary with which the former owner may
// still acknowledge commits.
func TestPlannedReplacementWaitsForEndOfFormerOwner(t *testing.T) {
	c := newFakeCluster(t)
	c.syncReplicas, c.usable = 1, false
	c.run(time.Second)
	assert.Equal(t, c.primary(), "a")
	orders := len(c.orders)
	c.members[0].Usable = false
	c.run(time.Second)
	assert.Equal(t, len(c.orders), orders)
	for _, n := range []string{"a", "c"} {
		c.advance(n, 11) // the former owner acknowledges a commit
	}
	c.usable = true
	c.run(promotionTimeout + 3*time.Second)
	assert.Equal(t, c.primary(), "c")
}
