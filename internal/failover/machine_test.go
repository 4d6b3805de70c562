package failover

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// cluster is a group of databases as the platform runs them.
type cluster struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	epoch   uint64
	members []Member
	status  map[string]statement.Status
	down    map[string]bool
	// fence is the highest token seen; late orders are carried out when the test
	// says so.
	fence  uint64
	lose   bool
	late   []Promote
	orders []Promote
	// leads is when a promotion takes effect.
	next   string
	leads  time.Duration
	tokens map[uint64]string
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, m: NewMachine(), now: time.Minute, epoch: 1, status: map[string]statement.Status{}, down: map[string]bool{}, tokens: map[uint64]string{}}
	for _, n := range []string{"a", "b", "c"} {
		c.members = append(c.members, Member{Name: n, Usable: true})
		c.status[n] = statement.Status{Primary: n == "a", Term: 1, Position: statement.Position{Term: 1, Number: 10}}
	}
	return c
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tick {
		if c.next != "" && c.now >= c.leads {
			c.lead(c.next)
			c.next = ""
		}
		for _, a := range append([]Action(nil), c.m.Tick(c.now, c.epoch, c.members)...) {
			c.do(a)
		}
	}
}

func (c *cluster) lead(server string) {
	term := uint64(0)
	for n, s := range c.status {
		term = max(term, s.Term)
		s.Primary = false
		c.status[n] = s
	}
	c.status[server] = statement.Status{Primary: true, Term: term + 1, Position: statement.Position{Term: term + 1, Number: c.status[server].Position.Number}}
}

func (c *cluster) do(a Action) {
	switch a := a.(type) {
	case Poll:
		if c.down[a.Server] {
			c.m.Polled(c.now, c.now, a.Server, statement.Status{}, errors.New("down"), false)
			return
		}
		c.m.Polled(c.now, c.now, a.Server, c.status[a.Server], nil, false)
	case NextEpoch:
		c.epoch++
	case Promote:
		c.orders = append(c.orders, a)
		if old, ok := c.tokens[a.Token]; ok {
			assert.Equal(c.t, old, a.Server, "token %d was used for two servers", a.Token)
		}
		c.tokens[a.Token] = a.Server
		if c.lose {
			c.late = append(c.late, a)
			return
		}
		c.m.Ordered(c.now, a.Token, a.Server, c.carryOut(a), false)
	}
}

// carryOut is what the platform does with an order.
func (c *cluster) carryOut(p Promote) bool {
	if p.Token < c.fence || c.down[p.Server] {
		return false
	}
	c.fence = p.Token
	if !c.status[p.Server].Primary {
		c.next, c.leads = p.Server, c.now+600*time.Millisecond
	}
	return true
}

func (c *cluster) primary() string {
	p, ok := c.m.Primary()
	if !ok {
		return ""
	}
	return p
}

// Guards against an owner that changes the primary when it only takes over.
func TestNewOwnerConfirmsThePrimary(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	assert.Equal(t, c.primary(), "a")
	assert.Equal(t, len(c.orders), 1)
}

// Guards against a promotion of a replica that lacks commits which another has.
func TestFailedPrimaryIsReplacedByTheMostAdvancedReplica(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	c.down["a"] = true
	s := c.status["c"]
	s.Position.Number = 12
	c.status["c"] = s
	c.run(4 * time.Second)
	assert.Equal(t, c.primary(), "c")
}

// Guards against an order that was lost, is carried out late, and moves the lead
// back after a newer one.
func TestLateOrderChangesNothing(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	c.down["a"], c.lose = true, true
	c.run(2 * time.Second)
	assert.Assert(t, len(c.late) > 0)
	first := c.late[0]
	// Another server is better by now, so that the next order names it.
	c.lose, c.down[first.Server] = false, true
	c.epoch++ // a new owner
	c.run(5 * time.Second)
	now := c.primary()
	assert.Assert(t, now != "" && now != first.Server)
	c.down[first.Server] = false
	assert.Assert(t, !c.carryOut(first), "the platform accepted the late order")
	c.run(2 * time.Second)
	assert.Equal(t, c.primary(), now)
}

// Guards against a gap when a primary leaves as planned: the replica that has all
// commits follows at once.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	c.members[0].Usable = false
	c.run(300 * time.Millisecond)
	// Reads go on at the old primary; writes wait.
	read, ok := c.m.ReadPrimary()
	assert.Assert(t, ok && read == "a" && c.primary() == "" && c.m.Changing())
	c.run(900 * time.Millisecond)
	assert.Assert(t, c.primary() != "a" && c.primary() != "", "primary is %q", c.primary())
}

// Guards against a primary in a zone that is out of service, which may not be
// used even when nothing can take over.
func TestPrimaryInAZoneOutIsNotUsed(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	for i := range c.members {
		c.members[i].Usable, c.members[i].ZoneOut = false, true
	}
	c.run(time.Second)
	assert.Equal(t, c.primary(), "")
}

// Guards against a suspicion that a busy primary raises by answering only its
// callers.
func TestAnswersToCallersAreSignsOfLife(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	orders := len(c.orders)
	c.down["a"] = true // polls fail
	for range 40 {
		c.run(100 * time.Millisecond)
		c.m.Alive(c.now, "a", statement.Position{Term: 1, Number: 11})
	}
	assert.Equal(t, c.primary(), "a")
	assert.Equal(t, len(c.orders), orders)
}

// Guards against a host that goes on using a primary after it has lost the role.
func TestLostRoleEndsTheLead(t *testing.T) {
	c := newCluster(t)
	c.run(time.Second)
	c.epoch = 0
	c.run(tick)
	assert.Equal(t, c.primary(), "")
}
