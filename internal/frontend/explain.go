package frontend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Kinds of requests that Explain knows. A transaction is one that may write.
const (
	QueryRead        = "read"
	QueryWrite       = "write"
	QueryTransaction = "transaction"
)

// Query describes a request of a session.
type Query struct {
	// Customer is empty for a session without a key on a public route.
	Customer, Route, Kind string
	// Commit is the last commit of the session in the group of the route; zero for none.
	Commit statement.Position
}

// QueryError reports a name in a Query that the host does not know.
type QueryError struct{ message string }

func (e *QueryError) Error() string { return e.message }

func unknownf(format string, args ...any) *QueryError {
	return &QueryError{fmt.Sprintf(format, args...)}
}

// Position is a statement.Position.
type Position struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
}

// Explanation states how a request would be routed. Ages are in milliseconds; those of
// unknown things are absent.
type Explanation struct {
	Host     string           `json:"host"`
	Customer string           `json:"customer"`
	Route    string           `json:"route"`
	Kind     string           `json:"kind"`
	Group    string           `json:"group"`
	Mode     config.RouteMode `json:"mode"`

	ConfigVersion config.Version `json:"config_version"`
	KeysFresh     bool           `json:"keys_fresh"`
	// ConfigAge is the time since the configuration was confirmed.
	ConfigAge float64 `json:"config_age_ms"`

	// Admitted is set unless the request would be refused for certain, with Reason and
	// Refusal.
	Admitted bool           `json:"admitted"`
	Reason   verdict.Reason `json:"reason,omitempty"`
	Refusal  string         `json:"refusal,omitempty"`
	// ThrottledShare is the share of such requests that this host refuses at the first
	// server.
	ThrottledShare float64 `json:"throttled_share"`
	// Rate is the configured rate of the customer in requests per second. Explain takes no
	// token, so it does not tell whether one is left.
	RateLimited bool    `json:"rate_limited"`
	Rate        float64 `json:"rate,omitempty"`

	// Floor is the log position that a replica must have applied; zero if the request
	// needs the primary. StalenessBound is that of the route.
	Floor          Position `json:"floor"`
	StalenessBound float64  `json:"staleness_bound_ms"`
	// SampleAge is the age of the newest log position sample of the group.
	SampleAge *float64 `json:"sample_age_ms,omitempty"`
	// PrimaryOnly is the reason why only the primary is tried; empty if replicas are.
	PrimaryOnly string `json:"primary_only,omitempty"`

	// Server and Home are where the first attempt goes. Server is empty while this host
	// knows no primary, Home while there is none.
	Server string `json:"server"`
	Home   string `json:"home"`
	// Spill is the reason why the order departs from that by zone.
	Spill routing.Spill `json:"spill,omitempty"`
	// Servers holds the servers in the order in which they are tried, then those that are
	// left out.
	Servers []ExplainedServer `json:"servers"`
}

// ExplainedServer is one server of the group.
type ExplainedServer struct {
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Home    string `json:"home"`
	Primary bool   `json:"primary"`
	// Place is the place in the order, from 1; 0 if the server is left out.
	Place int `json:"place"`
	// FirstShare is the share of such requests that go to the server first.
	FirstShare float64            `json:"first_share"`
	Obstacles  []routing.Obstacle `json:"obstacles"`
	// LoadAge is the age of the reported load; absent if none is known.
	LoadAge  *float64 `json:"load_age_ms,omitempty"`
	Slots    int      `json:"slots,omitempty"`
	Running  int      `json:"running,omitempty"`
	Waiting  int      `json:"waiting,omitempty"`
	Pace     int      `json:"pace,omitempty"`
	ExpectMs float64  `json:"expected_wait_ms,omitempty"`
}

// previewDraws is the number of orders by which Explain estimates ExplainedServer.FirstShare.
const previewDraws = 200

// Explain returns how the request would be routed, by the functions that route requests.
// It takes no token, admits no probe, counts nothing and sends nothing; at most it makes
// Fleet.View compute its view again.
//
// Routing draws at random between servers of equal rank, whether a read leaves a server
// that is probably late or paced, which of those with room it moves to, and whether the
// throttle refuses it. Explain draws the order many times from random numbers of its own
// and returns one with the most frequent first server. The throttle's draw is not made:
// its probability is returned.
func (f *Frontend) Explain(q Query) (*Explanation, error) {
	return f.explain(q, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), previewDraws)
}

func (f *Frontend) explain(q Query, r *rand.Rand, draws int) (*Explanation, error) {
	snapshot := f.opt.Snapshot()
	e := &Explanation{Customer: q.Customer, Route: q.Route, Kind: q.Kind, ConfigVersion: snapshot.Version(), Servers: []ExplainedServer{}}
	if snapshot.Version() == 0 {
		return nil, errors.New("the host has no configuration yet")
	}
	o, unknown := f.explainedOperation(snapshot, q)
	if unknown != nil {
		return nil, unknown
	}
	e.Customer, e.Group, e.Mode, e.StalenessBound = o.s.customer, o.route.Group, o.route.Mode, millis(o.route.Staleness.Std())
	fresh, age := f.opt.KeysFresh()
	e.KeysFresh, e.ConfigAge = fresh, millis(age)
	if at := f.NewestSampleTime(o.route.Group); at > 0 {
		sampleAge := millis(o.arrived - at)
		e.SampleAge = &sampleAge
	}
	f.explainAdmission(e, snapshot, o)
	f.explainOrder(e, o, r, draws)
	return e, nil
}

// explainedOperation returns the operation that the query describes, in a session that is
// not registered.
func (f *Frontend) explainedOperation(snapshot *catalog.Snapshot, q Query) (*operation, *QueryError) {
	route, ok := snapshot.Route(q.Route)
	if !ok {
		return nil, unknownf("unknown route %q", q.Route)
	}
	s := newSession(f, nil, nil)
	s.customer = q.Customer
	_, known := snapshot.Document.Customer(q.Customer)
	switch {
	case q.Customer == "" && route.Public:
		s.customer = config.PublicCustomer
	case q.Customer == "":
		return nil, unknownf("route %q is not public: a customer is needed", q.Route)
	case !known && !(q.Customer == config.PublicCustomer && route.Public):
		return nil, unknownf("unknown customer %q", q.Customer)
	}
	if !q.Commit.IsZero() {
		s.lastCommits[route.Group] = q.Commit
	}
	now := f.opt.Clock()
	o := s.newOperation(statement.Statement{Kind: statement.Read}, route, now)
	switch q.Kind {
	case QueryRead:
	case QueryWrite:
		o.st.Kind = statement.Write
	case QueryTransaction:
		begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
		o.tx = &transaction{begin: begin, route: route, lastUsed: now}
	default:
		return nil, unknownf("unknown kind %q: read, write or transaction", q.Kind)
	}
	return o, nil
}

// explainAdmission states whether the request is refused before a server is chosen.
func (f *Frontend) explainAdmission(e *Explanation, snapshot *catalog.Snapshot, o *operation) {
	e.Admitted = true
	if _, refused := f.authorizeRoute(snapshot, e.Route); refused != nil {
		e.refuse(refused)
		return
	}
	if customer, ok := snapshot.Document.Customer(e.Customer); ok && len(customer.Keys) == 0 {
		e.refuse(verdict.New(verdict.NotRun, verdict.BadKey, "customer %s has no key", e.Customer))
		return
	}
	if !o.s.isRateLimited(o.route) {
		return
	}
	e.RateLimited = true
	rule, ok := snapshot.Document.Limit(e.Customer)
	if !ok {
		e.refuse(verdict.New(verdict.NotRun, verdict.RateLimited, "customer %s has no rate limit in the configuration", e.Customer))
		return
	}
	e.Rate = rule.Rate
}

func (e *Explanation) refuse(v *verdict.Error) {
	e.Admitted, e.Reason, e.Refusal = false, v.Reason, v.Message
}

// explainOrder states which servers are tried, and what is known of all of them.
func (f *Frontend) explainOrder(e *Explanation, o *operation, r *rand.Rand, draws int) {
	if o.needsPrimary() {
		e.PrimaryOnly = "a " + e.Kind + " on a route of mode " + string(o.route.Mode) + " needs the primary"
	} else if floor, ok := o.readFloor(); ok {
		e.Floor = Position(floor)
	} else {
		e.PrimaryOnly = "no log position sample of the group is recent enough for the staleness bound"
	}
	v := f.opt.Fleet.View(o.route.Group)
	owner, hasOwner := f.opt.Fleet.Owner(o.route.Group)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := o.now()
	standings := map[string]routing.Standing{}
	for _, s := range f.loadOrder.Standings(now, v, o.readDemand(), f.opt.RouteByLoad) {
		if e.PrimaryOnly != "" {
			s.Obstacles = slices.DeleteFunc(s.Obstacles, func(x routing.Obstacle) bool { return !x.AnyRequest() })
		}
		if s.Primary {
			// Requests for the primary go to the owner of the group.
			s.Home, s.HasHome = owner, hasOwner
		}
		standings[s.Server] = s
	}
	var order []routing.Candidate
	first := map[string]int{}
	if e.PrimaryOnly == "" {
		order, e.Spill, first = o.previewReads(f.loadOrder.Preview(r), v, draws)
	}
	for i, c := range order {
		if c.Primary || i >= maxAttempts {
			break
		}
		e.add(standings[c.Server], i+1, float64(first[c.Server])/float64(draws), o)
		delete(standings, c.Server)
	}
	if s, ok := standings[v.Primary]; ok {
		// After the replicas, and instead of those that are left, the owner of the group is
		// asked until the deadline, whatever is known of the primary.
		share := float64(first[s.Server]) / float64(draws)
		if len(order) == 0 {
			share = 1
		}
		for i := range s.Obstacles {
			s.Obstacles[i].LeftOut = false
		}
		e.add(s, len(e.Servers)+1, share, o)
		delete(standings, v.Primary)
	}
	f.explainThrottle(e, o, order, now)
	for _, server := range v.Group.Servers {
		s, ok := standings[server.Name]
		switch {
		case !ok:
			continue
		case e.PrimaryOnly != "":
			s.Obstacles = append(s.Obstacles, routing.Obstacle{Reason: routing.ObstacleNotPrimary, Detail: e.PrimaryOnly, LeftOut: true})
		case slices.ContainsFunc(order, func(c routing.Candidate) bool { return c.Server == s.Server }):
			s.Obstacles = append(s.Obstacles, routing.Obstacle{Reason: routing.ObstacleNotReached, Detail: "the primary is tried before it, until the deadline", LeftOut: true})
		}
		e.add(s, 0, 0, o)
	}
	if len(e.Servers) > 0 && e.Servers[0].Place == 1 {
		e.Server, e.Home = e.Servers[0].Server, e.Servers[0].Home
	} else {
		e.Home = owner.Name
	}
	if e.Admitted && e.Home == "" {
		e.refuse(verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no owner; the request waits for one for a part of its latency target", o.route.Group))
	}
}

// previewReads draws orders of the servers that the operation would try. It returns one
// with the most frequent first server, why it departs from that by zone, and how often
// each server came first. The caller must hold the frontend's lock.
func (o *operation) previewReads(preview *routing.LoadOrder, v routing.GroupView, draws int) (best []routing.Candidate, spill routing.Spill, first map[string]int) {
	type draw struct {
		order []routing.Candidate
		spill routing.Spill
	}
	first, byFirst := map[string]int{}, map[string]draw{}
	most := 0
	for range draws {
		candidates, cause := o.orderReads(o.now(), preview, v)
		tried := o.untried(candidates)
		if len(tried) == 0 {
			continue
		}
		name := tried[0].Server
		first[name]++
		if _, ok := byFirst[name]; !ok {
			byFirst[name] = draw{tried, cause}
		}
		if first[name] > most {
			most, best, spill = first[name], byFirst[name].order, byFirst[name].spill
		}
	}
	return best, spill, first
}

// untried returns the candidates in the order in which the operation tries them. The
// caller must hold the frontend's lock.
func (o *operation) untried(candidates []routing.Candidate) []routing.Candidate {
	var tried []routing.Candidate
	for {
		i := o.firstUntried(candidates)
		if i < 0 {
			return tried
		}
		tried = append(tried, candidates[i])
		candidates = candidates[i+1:]
	}
}

// explainThrottle states how likely this host refuses the first attempt. The caller must
// hold the frontend's lock.
func (f *Frontend) explainThrottle(e *Explanation, o *operation, order []routing.Candidate, now time.Duration) {
	if !f.opt.ContentionControl {
		return
	}
	req := o.newRequest()
	limit := o.deadline
	if len(order) > 0 && !order[0].Primary {
		o.limitWait(order[1:])
		req.Server, limit = order[0].Server, o.replicaLimit(now)
	} else {
		req.Primary = true
	}
	o.setTimes(req, limit-now)
	r, ok := o.admissionRequest(req)
	if !ok {
		return
	}
	o.addLoad(now, &r)
	e.ThrottledShare = f.throttle.RefusedShare(now, r)
}

func (e *Explanation) add(s routing.Standing, place int, firstShare float64, o *operation) {
	x := ExplainedServer{
		Server: s.Server, Zone: s.Zone, Home: s.Home.Name, Primary: s.Primary, Place: place, FirstShare: firstShare, Obstacles: s.Obstacles,
	}
	if x.Obstacles == nil {
		x.Obstacles = []routing.Obstacle{}
	}
	if s.LoadKnown {
		age := millis(s.LoadAge)
		x.LoadAge, x.Slots, x.Running, x.Waiting, x.Pace = &age, s.Load.Slots, s.Load.Running, s.Load.Waiting, s.Load.Pace
		x.ExpectMs = millis(s.Load.ExpectedWait(o.readDemand().Priority))
	}
	e.Servers = append(e.Servers, x)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
