package failover

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// fakeCluster simulates a group of three backend servers and the platform that
// promotes them.
type fakeCluster struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	epoch   uint64
	usable  bool
	members []Member
	// syncReplicas is the number of synchronous replicas.
	syncReplicas int
	status       map[string]statement.Status
	down         map[string]bool
	// answerDelay is the time that a server takes to answer a poll. A server answers as
	// many polls with "busy" as busyAnswers says.
	answerDelay map[string]time.Duration
	busyAnswers map[string]int
	pendingPoll []pendingPoll
	// highestToken is the highest token of an accepted order. While dropOrders is
	// set, orders are kept in droppedOrders and not executed.
	highestToken  uint64
	dropOrders    bool
	droppedOrders []Promote
	orders        []Promote
	// promoting becomes the primary at promotedAt.
	promoting  string
	promotedAt time.Duration
	tokens     map[uint64]string
}

// pendingPoll is a poll that the server has not answered yet.
type pendingPoll struct {
	server       string
	sent, answer time.Duration
}

func newFakeCluster(t *testing.T) *fakeCluster {
	c := &fakeCluster{
		t: t, m: NewMachine(), now: time.Minute, epoch: 1, usable: true, status: map[string]statement.Status{}, down: map[string]bool{},
		answerDelay: map[string]time.Duration{}, busyAnswers: map[string]int{}, tokens: map[uint64]string{},
	}
	for _, n := range []string{"a", "b", "c"} {
		c.members = append(c.members, Member{Name: n, Usable: true, ReportsPrimary: n == "a"})
		c.status[n] = statement.Status{Primary: n == "a", Term: 1, Position: statement.Position{Term: 1, Number: 10}}
	}
	return c
}

func (c *fakeCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tickInterval {
		if c.promoting != "" && c.now >= c.promotedAt {
			c.makePrimary(c.promoting)
			c.promoting = ""
		}
		c.answerPolls()
		for _, a := range append([]Action(nil), c.m.Tick(c.now, c.epoch, c.usable, Group{Members: c.members, SyncReplicas: c.syncReplicas})...) {
			c.performAction(a)
		}
	}
}

func (c *fakeCluster) answerPolls() {
	var later []pendingPoll
	for _, p := range c.pendingPoll {
		if p.answer > c.now {
			later = append(later, p)
			continue
		}
		c.answerPoll(p.sent, p.server)
	}
	c.pendingPoll = later
}

func (c *fakeCluster) answerPoll(sent time.Duration, server string) {
	switch {
	case c.down[server]:
		c.m.OnPollResult(c.now, sent, server, statement.Status{}, errors.New("down"), false)
	case c.busyAnswers[server] > 0:
		c.busyAnswers[server]--
		c.m.OnServerBusy(sent, server)
	default:
		c.m.OnPollResult(c.now, sent, server, c.status[server], nil, false)
	}
}

// advance sets the position of a server in its term.
func (c *fakeCluster) advance(server string, number uint64) {
	s := c.status[server]
	s.Position.Number = number
	c.status[server] = s
}

func (c *fakeCluster) makePrimary(server string) {
	term := uint64(0)
	for n, s := range c.status {
		term = max(term, s.Term)
		s.Primary = false
		c.status[n] = s
	}
	c.status[server] = statement.Status{Primary: true, Term: term + 1, Position: statement.Position{Term: term + 1, Number: c.status[server].Position.Number}}
}

func (c *fakeCluster) performAction(a Action) {
	switch a := a.(type) {
	case Poll:
		if d := c.answerDelay[a.Server]; d > 0 {
			c.pendingPoll = append(c.pendingPoll, pendingPoll{a.Server, c.now, c.now + d})
			return
		}
		c.answerPoll(c.now, a.Server)
	case NextEpoch:
		c.epoch++
	case Promote:
		c.orders = append(c.orders, a)
		if old, ok := c.tokens[a.Token]; ok {
			assert.Equal(c.t, old, a.Server, "token %d was used for two servers", a.Token)
		}
		c.tokens[a.Token] = a.Server
		if c.dropOrders {
			c.droppedOrders = append(c.droppedOrders, a)
			return
		}
		c.m.OnOrderResult(c.now, a.Token, a.Server, c.executeOrder(a), false)
	}
}

// executeOrder executes an order as the platform does, and reports whether it was
// accepted.
func (c *fakeCluster) executeOrder(p Promote) bool {
	if p.Token < c.highestToken || c.down[p.Server] {
		return false
	}
	c.highestToken = p.Token
	if !c.status[p.Server].Primary {
		c.promoting, c.promotedAt = p.Server, c.now+600*time.Millisecond
	}
	return true
}

func (c *fakeCluster) primary() string {
	p, ok := c.m.Primary()
	if !ok {
		return ""
	}
	return p
}

// Guards against a new owner that replaces a working primary when it takes over the
// group.
func TestNewOwnerConfirmsThePrimary(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	assert.Equal(t, c.primary(), "a")
	assert.Equal(t, len(c.orders), 1)
}

// Guards against the promotion of a replica that lacks commits that another one has.
func TestFailedPrimaryIsReplacedByTheMostAdvancedReplica(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	c.down["a"] = true
	c.advance("c", 12)
	c.run(4 * time.Second)
	assert.Equal(t, c.primary(), "c")
}

// Guards against an order that is delivered after a newer one and makes the server
// of the older order the primary.
func TestLateOrderIsRejected(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	c.down["a"], c.dropOrders = true, true
	c.run(2 * time.Second)
	assert.Assert(t, len(c.droppedOrders) > 0)
	first := c.droppedOrders[0]
	// The first target is down now, so the next order names another server.
	c.dropOrders, c.down[first.Server] = false, true
	c.epoch++ // a new owner
	c.run(5 * time.Second)
	now := c.primary()
	assert.Assert(t, now != "" && now != first.Server)
	c.down[first.Server] = false
	assert.Assert(t, !c.executeOrder(first), "the platform accepted the late order")
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), now)
}

// Guards against a long gap when a primary leaves as planned: a replica that has all
// commits must be promoted at once.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	c.members[0].Usable = false
	c.run(300 * time.Millisecond)
	// Reads continue on the old primary, and writes wait.
	read, ok := c.m.ReadPrimary()
	assert.Assert(t, ok && read == "a" && c.primary() == "" && c.m.PrimaryExpected())
	c.run(900 * time.Millisecond)
	assert.Assert(t, c.primary() != "a" && c.primary() != "", "primary is %q", c.primary())
}

// Guards against the use of a primary in a zone that is out of service, even if no
// other server can be promoted.
func TestPrimaryInZoneOutOfServiceIsNotUsed(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	for i := range c.members {
		c.members[i].Usable, c.members[i].ZoneOut = false, true
	}
	c.run(time.Second)
	assert.Equal(t, c.primary(), "")
}

// Guards against the replacement of a busy primary that answers statements but not
// status polls.
func TestAnswersToCallersPreventSuspicion(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	orders := len(c.orders)
	c.down["a"] = true // polls fail
	for range 40 {
		c.run(100 * time.Millisecond)
		c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 11})
	}
	assert.Equal(t, c.primary(), "a")
	assert.Equal(t, len(c.orders), orders)
}

// Guards against a host that uses the primary after it has lost the group's role.
func TestLostRoleEndsUseOfPrimary(t *testing.T) {
	c := newFakeCluster(t)
	c.run(time.Second)
	c.epoch = 0
	c.run(tickInterval)
	assert.Equal(t, c.primary(), "")
}

// restart starts a server again under its name, without its log.
func (c *fakeCluster) restart(server string) {
	c.status[server] = statement.Status{}
}

// Guards against keeping a primary that has started again without its log: by what the
// registry says, by a read that finds a position missing, and by its own report.
func TestPrimaryWithoutItsLogIsReplaced(t *testing.T) {
	for name, notice := range map[string]func(c *fakeCluster){
		"registered again": func(c *fakeCluster) {
			for i := range c.members {
				if c.members[i].Name == "a" {
					c.members[i].Incarnation, c.members[i].ReportsPrimary = 2, false
				}
			}
		},
		"a read misses a position": func(c *fakeCluster) { c.m.RecordMissingPosition("a") },
		"it calls itself primary": func(c *fakeCluster) {
			c.status["a"] = statement.Status{Primary: true}
			c.m.RecordMissingPosition("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFakeCluster(t)
			c.run(2 * time.Second)
			c.advance("a", 20)
			c.advance("b", 20)
			c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 20})
			c.run(100 * time.Millisecond)
			primary, ok := c.m.Primary()
			assert.Assert(t, ok && primary == "a")
			assert.Equal(t, c.m.Position("a"), statement.Position{Term: 1, Number: 20})
			assert.Assert(t, c.m.Position("b").IsZero())
			c.restart("a")
			notice(c)
			// Answers to callers must not hide it.
			for range 8 {
				c.run(tickInterval)
				c.m.RecordAnswer(c.now, "a", statement.Position{})
			}
			_, ok = c.m.Primary()
			assert.Assert(t, !ok, "the server is still used")
			c.run(4 * time.Second)
			primary, ok = c.m.Primary()
			assert.Assert(t, ok && primary == "b", "%q %v", primary, ok)
		})
	}
}

// Guards against replacing a sound primary: a report that was asked for before a commit may
// lack it, and a read may come before a new primary has applied its log.
func TestSoundPrimaryIsKeptWhenAPositionIsMissing(t *testing.T) {
	c := newFakeCluster(t)
	c.run(2 * time.Second)
	orders := len(c.orders)
	c.m.RecordMissingPosition("a")
	c.run(time.Second)
	c.answerDelay["a"] = 100 * time.Millisecond
	for len(c.pendingPoll) == 0 {
		c.run(tickInterval)
	}
	before := c.status["a"]
	c.m.RecordAnswer(c.now, "a", statement.Position{Term: 1, Number: 30}) // answered while the poll is under way
	c.run(200 * time.Millisecond)
	assert.Equal(t, c.status["a"], before)
	c.advance("a", 30)
	c.run(time.Second)
	primary, ok := c.m.Primary()
	assert.Assert(t, ok && primary == "a")
	assert.Equal(t, len(c.orders), orders)
}
