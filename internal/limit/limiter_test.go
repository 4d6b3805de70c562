package limit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// testFleet is the view of one host on a fleet with one host per zone.
type testFleet struct {
	zone string
	doc  *config.Document
}

func (f *testFleet) Zone() string               { return f.zone }
func (f *testFleet) Document() *config.Document { return f.doc }
func (f *testFleet) Holder(role string) (string, bool, bool) {
	for _, z := range f.doc.Inventory.Zones {
		if role == customer.MinterRole(z.Name, "acme") {
			return z.Name, z.Name == f.zone, true
		}
	}
	return "", false, false
}
func (f *testFleet) MintEpoch(string) (uint64, bool) { return 1, true }

// testPeers calls the minters of the other hosts, except for unreachable ones.
type testPeers struct {
	mu          sync.Mutex
	minters     map[string]*Minters
	unreachable map[string]bool
}

func (p *testPeers) Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	p.mu.Lock()
	m, unreachable := p.minters[address], p.unreachable[address]
	p.mu.Unlock()
	if unreachable {
		return nil, errors.New("host is unreachable")
	}
	return m.Grant(ctx, req)
}

// makeUnreachable makes a host unreachable. Settlements may be under way.
func (p *testPeers) makeUnreachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[address] = true
}

func newTestLimiters(t *testing.T, limit config.Limit, zones ...string) (map[string]*Limiter, *testPeers) {
	t.Helper()
	doc := &config.Document{Version: 1}
	for _, z := range zones {
		doc.Inventory.Zones = append(doc.Inventory.Zones, config.Zone{Name: z})
	}
	doc.Rules.Limits = []config.Limit{limit}
	start := time.Now()
	// The roles are taken over one minute before the start, so that the buckets are
	// full.
	clock := func() time.Duration { return time.Since(start) + time.Minute }
	peers := &testPeers{minters: map[string]*Minters{}, unreachable: map[string]bool{}}
	limiters := map[string]*Limiter{}
	for _, z := range zones {
		fleet := &testFleet{zone: z, doc: doc}
		minters := NewMinters(fleet, clock)
		minters.ensureRole(0, customer.MinterRole(z, "acme"), 1)
		peers.minters[z] = minters
		limiters[z] = New(Options{Fleet: fleet, Peers: peers, Minters: minters, Clock: clock, Counters: telemetry.NewCounters()})
		t.Cleanup(limiters[z].Close)
	}
	return limiters, peers
}

// Guards against a zone with all the demand that cannot use the tokens of other
// zones, and against the admission of more than the limit.
func TestOneZoneSpendsTheWholeBurst(t *testing.T) {
	limiters, _ := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 8, Burst: 8}, "a", "b", "c", "d")
	admitted := 0
	begin := time.Now()
	for range 20 {
		if err := limiters["a"].Admit(context.Background(), "acme"); err == nil {
			admitted++
		} else {
			assert.Equal(t, verdict.From(err).Reason, verdict.RateLimited)
			assert.Equal(t, verdict.From(err).Verdict, verdict.NotRun)
		}
	}
	upperBound := 8 + 8*time.Since(begin).Seconds()
	assert.Assert(t, admitted >= 8, "admitted %d", admitted)
	assert.Assert(t, float64(admitted) <= upperBound, "admitted %d, at most %f", admitted, upperBound)
}

// Guards against a zone that admits nothing while it cannot reach other zones: it
// must keep its own share.
func TestIsolatedZoneKeepsItsShare(t *testing.T) {
	limiters, peers := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 8, Burst: 8}, "a", "b")
	peers.makeUnreachable("b")
	for range 4 {
		assert.NilError(t, limiters["a"].Admit(context.Background(), "acme"))
	}
}

// Guards against an error that says that a customer exceeds its rate although the
// hosts that hold its tokens do not answer.
func TestRefusalDistinguishesUnavailableTokensFromExceededRate(t *testing.T) {
	limiters, peers := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 4, Burst: 4}, "a", "b")
	exhaust := func() error {
		for {
			if err := limiters["a"].Admit(context.Background(), "acme"); err != nil {
				return err
			}
		}
	}
	assert.ErrorContains(t, exhaust(), "is over its rate")
	peers.makeUnreachable("b")
	assert.ErrorContains(t, exhaust(), "zones that do not answer: 1")
	assert.Assert(t, limiters["a"].opts.Counters.Get("tokens_unavailable") > 0)
}

// Guards against a waiter that is not removed when its caller's context ends.
func TestCancelledRequestIsNotRun(t *testing.T) {
	limiters, _ := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 1, Burst: 1}, "a")
	assert.NilError(t, limiters["a"].Admit(context.Background(), "acme"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := limiters["a"].Admit(ctx, "acme")
	assert.Equal(t, verdict.From(err).Verdict, verdict.NotRun)
	a := limiters["a"].admissionOf("acme")
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, len(a.waiters), 0)
}

// Guards against tokens that are granted by a host that does not hold the role.
func TestGrantRequiresRole(t *testing.T) {
	m := NewMinters(noRoles{}, func() time.Duration { return time.Second })
	resp, err := m.Grant(context.Background(), &peerpb.GrantRequest{Customer: "acme", Amount: 1, Role: "rate/a/0"})
	assert.NilError(t, err)
	assert.Equal(t, resp.GetHolder(), false)
	assert.Equal(t, resp.GetAmount(), uint64(0))
}

type noRoles struct{}

func (noRoles) Zone() string                       { return "a" }
func (noRoles) Document() *config.Document         { return &config.Document{} }
func (noRoles) Holder(string) (string, bool, bool) { return "", false, false }
func (noRoles) MintEpoch(string) (uint64, bool)    { return 0, false }

// Guards against refunded tokens that can be used later than GrantValidity after
// the refund, or twice.
func TestRefundedTokenAdmitsOneRequest(t *testing.T) {
	limiters, _ := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 0.05, Burst: 2}, "a")
	l := limiters["a"]
	admit := func() bool { return l.Admit(context.Background(), "acme") == nil }
	assert.Assert(t, admit())
	assert.Assert(t, admit())
	assert.Assert(t, !admit())
	l.Refund("acme")
	assert.Assert(t, admit())
	assert.Assert(t, !admit())
	l.Refund("acme")
	time.Sleep(customer.GrantValidity + 20*time.Millisecond)
	assert.Assert(t, !admit())
}
