package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// viewFleet is a Fleet with a given view that is never called.
type viewFleet struct {
	*fakeFleet
	view routing.GroupView
}

func (v viewFleet) View(string) routing.GroupView { return v.view }

// randomView returns a group of servers in three zones, seen from zone a.
func randomView(r *rand.Rand) routing.GroupView {
	v := routing.GroupView{OwnZone: "a", Primary: "s0", Term: 3, Homes: map[string]routing.Host{}, Unreachable: map[string]bool{}}
	for i := range 2 + r.IntN(8) {
		name := fmt.Sprintf("s%d", i)
		v.Group.Servers = append(v.Group.Servers, config.Server{Name: name, Zone: string(rune('a' + r.IntN(3))), Leaving: r.IntN(12) == 0})
		if r.IntN(12) > 0 {
			v.Homes[name] = routing.Host{Name: "home-" + name}
		}
		v.Unreachable["home-"+name] = r.IntN(12) == 0
	}
	if r.IntN(8) == 0 {
		v.ZonesOut = []string{"c"}
	}
	return v
}

// explainFixture returns a frontend at a fixed time whose knowledge and random state
// depend on the seed only.
func explainFixture(t *testing.T, seed uint64) *fixture {
	r := rand.New(rand.NewPCG(seed, 1))
	x := newFixture(t)
	now := time.Minute
	x.f.opt.Clock = func() time.Duration { return now }
	x.f.opt.RouteByLoad, x.f.opt.ContentionControl = r.IntN(5) > 0, true
	v := randomView(r)
	x.f.opt.Fleet = viewFleet{x.fleet, v}
	x.f.balancer = routing.NewBalancer(rand.New(rand.NewPCG(seed, 2)))
	x.f.loadOrder = routing.NewLoadOrder(x.f.balancer, x.f.opt.Loads)
	x.f.Observe("g", now, statement.Position{Term: 1, Number: 40})
	for _, s := range v.Group.Servers {
		c := routing.Candidate{Server: s.Name, Home: v.Homes[s.Name]}
		for range r.IntN(3) {
			x.f.balancer.RecordSuccess(now, c, time.Duration(r.IntN(30))*time.Millisecond)
			x.f.loadOrder.RecordSent(now, s.Name)
		}
		switch r.IntN(6) {
		case 0:
			x.f.balancer.RecordFailure(now, c, verdict.BackendUnreachable)
		case 1:
			for range 8 {
				x.f.balancer.RecordFailure(now, c, verdict.NoFreshReplica)
			}
		}
		if r.IntN(6) == 0 {
			continue
		}
		l := serverload.Load{
			Server: s.Name, Slots: 6, Running: r.IntN(7), Waiting: r.IntN(4), Pace: r.IntN(6), Ejected: r.IntN(4) == 0,
			Service: time.Duration(r.IntN(60)) * time.Millisecond, MeasuredAt: now - time.Duration(r.IntN(2500))*time.Millisecond,
		}
		if l.Waiting > 0 {
			l.Wait = []time.Duration{time.Duration(r.IntN(400)) * time.Millisecond}
		}
		x.f.opt.Loads.Record(l)
	}
	for range r.IntN(30) {
		o, _ := x.f.explainedOperation(x.snap, Query{Customer: "cust", Route: "bounded", Kind: QueryRead})
		req := o.newRequest()
		req.Server = v.Group.Servers[r.IntN(len(v.Group.Servers))].Name
		var err error
		if r.IntN(4) > 0 {
			err = verdict.New(verdict.NotRun, verdict.QueueFull, "x")
		}
		o.recordAdmission(req, err)
	}
	return x
}

// chosen returns the servers to which a read goes, one after the other, when all of them
// refuse, up to the primary.
func chosen(t *testing.T, x *fixture, query Query) (first string, reached []string) {
	o, err := x.f.explainedOperation(x.snap, query)
	assert.Assert(t, err == nil)
	for range maxAttempts {
		c, ok := o.nextCandidate()
		if !ok || c.Primary {
			break
		}
		o.triedServers[c.Server] = true
		reached = append(reached, c.Server)
	}
	if len(reached) == 0 {
		return "s0", reached
	}
	return reached[0], reached
}

// Guards against an explanation that differs from the routing: with the same random
// numbers, its first server is that of the operation, and all servers it places are tried.
func TestExplainNamesTheServerThatTheOperationChooses(t *testing.T) {
	query := Query{Customer: "cust", Route: "bounded", Kind: QueryRead}
	firsts := map[string]int{}
	obstacles := map[routing.ObstacleReason]int{}
	for seed := range uint64(3000) {
		x := explainFixture(t, seed)
		e, err := x.f.explain(query, rand.New(rand.NewPCG(seed, 3)), 1)
		assert.NilError(t, err)
		// The same draws as those of the explanation.
		routed := explainFixture(t, seed)
		routed.f.loadOrder = routed.f.loadOrder.Preview(rand.New(rand.NewPCG(seed, 3)))
		first, reached := chosen(t, routed, query)
		assert.Equal(t, e.Server, first, "seed %d", seed)
		placed, ended := map[string]bool{}, false
		for i, s := range e.Servers {
			if s.Place == 0 {
				assert.Assert(t, leftOut(s), "seed %d: %s is left out without a reason", seed, s.Server)
			} else {
				assert.Equal(t, s.Place, i+1)
				assert.Assert(t, !leftOut(s), "seed %d: %s is placed and left out", seed, s.Server)
				assert.Assert(t, !ended, "seed %d: %s is placed after the primary", seed, s.Server)
				placed[s.Server], ended = true, s.Primary
			}
			for _, o := range s.Obstacles {
				obstacles[o.Reason]++
			}
		}
		assert.Assert(t, ended, "seed %d: the primary is not placed", seed)
		for _, name := range reached {
			assert.Assert(t, placed[name] || len(reached) == maxAttempts, "seed %d: %s is tried and not placed", seed, name)
		}
		assert.Equal(t, len(e.Servers), len(routed.f.opt.Fleet.View("g").Group.Servers))
		firsts[first]++
	}
	assert.Assert(t, len(firsts) > 4, "%v", firsts)
	for _, r := range []routing.ObstacleReason{
		routing.ObstacleLeaving, routing.ObstacleZoneOut, routing.ObstacleNoHome, routing.ObstacleLag, routing.ObstacleHomeUnreachable,
		routing.ObstacleBackoff, routing.ObstacleEjected, routing.ObstaclePace, routing.ObstacleFull, routing.ObstacleNotReached,
	} {
		assert.Assert(t, obstacles[r] > 0, "%s never occurs", r)
	}
}

func leftOut(s ExplainedServer) bool {
	for _, o := range s.Obstacles {
		if o.LeftOut {
			return true
		}
	}
	return false
}

// Guards against an explanation that changes routing: after any number of explanations,
// the operations choose the same servers, and nothing was counted, sent or taken.
func TestExplainHasNoEffect(t *testing.T) {
	for seed := range uint64(100) {
		x, twin := explainFixture(t, seed), explainFixture(t, seed)
		for range 5 {
			counters := x.f.opt.Counters.String()
			for _, kind := range []string{QueryRead, QueryWrite, QueryTransaction} {
				for _, route := range []string{"bounded", "own", "current"} {
					_, err := x.f.Explain(Query{Customer: "cust", Route: route, Kind: kind, Commit: statement.Position{Term: 1, Number: 90}})
					assert.NilError(t, err)
				}
			}
			assert.Equal(t, x.f.opt.Counters.String(), counters)
			query := Query{Customer: "cust", Route: "bounded", Kind: QueryRead}
			_, got := chosen(t, x, query)
			_, want := chosen(t, twin, query)
			assert.DeepEqual(t, got, want)
		}
		assert.Equal(t, x.limiter.admitted, 0)
		assert.Equal(t, len(x.fleet.recordedCalls()), 0)
		assert.Equal(t, x.f.Sessions(), 0)
	}
}

// Guards against a share of throttled requests that is not the one by which the operation
// is refused.
func TestExplainStatesTheShareThatTheThrottleRefuses(t *testing.T) {
	throttled := 0
	for seed := range uint64(100) {
		x := explainFixture(t, seed)
		e, err := x.f.Explain(Query{Customer: "cust", Route: "current", Kind: QueryWrite})
		assert.NilError(t, err)
		o, _ := x.f.explainedOperation(x.snap, Query{Customer: "cust", Route: "current", Kind: QueryWrite})
		req := o.newRequest()
		req.Primary = true
		o.setTimes(req, o.deadline-o.now())
		refused := o.admit(req) != nil
		if e.ThrottledShare == 0 {
			assert.Assert(t, !refused, "seed %d", seed)
		} else {
			throttled++
		}
	}
	assert.Assert(t, throttled > 0)
}

// Guards against explanations for requests that no session can send, and against a session
// refused by the host that is explained as admitted.
func TestExplainAdmission(t *testing.T) {
	x := newFixture(t)
	for _, q := range []Query{
		{Customer: "nobody", Route: "bounded", Kind: QueryRead},
		{Customer: "cust", Route: "nowhere", Kind: QueryRead},
		{Customer: "cust", Route: "bounded", Kind: "delete"},
		{Route: "bounded", Kind: QueryRead},
		{Customer: config.PublicCustomer, Route: "bounded", Kind: QueryRead},
	} {
		_, err := x.f.Explain(q)
		var unknown *QueryError
		assert.Assert(t, err != nil)
		assert.ErrorType(t, err, unknown)
	}
	query := Query{Customer: "cust", Route: "own", Kind: QueryRead, Commit: statement.Position{Term: 1, Number: 90}}
	e, err := x.f.Explain(query)
	assert.NilError(t, err)
	assert.Equal(t, e.Reason, verdict.RateLimited) // the test's configuration has no limits
	assert.Equal(t, e.Home, "owner")
	assert.Assert(t, e.PrimaryOnly != "", "a read without a sample")
	x.sample(40)
	e, err = x.f.Explain(query)
	assert.NilError(t, err)
	assert.Equal(t, e.Floor, Position{Term: 1, Number: 90})
	assert.Assert(t, e.Home != "owner" && e.PrimaryOnly == "")
	x.fresh = false
	e, err = x.f.Explain(query)
	assert.NilError(t, err)
	assert.Assert(t, !e.Admitted)
	assert.Equal(t, e.Reason, verdict.StaleConfiguration)
}

// Guards against writes and transactions that are explained as going to a replica.
func TestExplainSendsWritesToTheOwner(t *testing.T) {
	x := newFixture(t)
	x.sample(40)
	for _, kind := range []string{QueryWrite, QueryTransaction} {
		e, err := x.f.Explain(Query{Customer: "cust", Route: "bounded", Kind: kind})
		assert.NilError(t, err)
		assert.Equal(t, e.Server, "p")
		assert.Equal(t, e.Home, "owner")
		assert.Equal(t, e.Servers[0].FirstShare, 1.0)
		assert.Equal(t, e.Servers[1].Place, 0)
	}
	c := x.open("bounded")
	assert.Assert(t, c.do(statement.Begin, "BEGIN").Err == nil)
	assert.Assert(t, c.do(statement.Read, "READ a").Err == nil)
	assert.Equal(t, x.fleet.recordedCalls()[0].host, "owner")
}
