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

// testFleet is one host of a fleet with one host for each zone.
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

// testPeers calls the minters of the other hosts, but for those cut off.
type testPeers struct {
	mu      sync.Mutex
	minters map[string]*Minters
	cut     map[string]bool
}

func (p *testPeers) Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	p.mu.Lock()
	m, cut := p.minters[address], p.cut[address]
	p.mu.Unlock()
	if cut {
		return nil, errors.New("cut off")
	}
	return m.Grant(ctx, req)
}

func newTestLimiters(t *testing.T, limit config.Limit, zones ...string) (map[string]*Limiter, *testPeers) {
	t.Helper()
	doc := &config.Document{Version: 1}
	for _, z := range zones {
		doc.Inventory.Zones = append(doc.Inventory.Zones, config.Zone{Name: z})
	}
	doc.Rules.Limits = []config.Limit{limit}
	start := time.Now()
	// The roles were taken over long enough ago that the buckets are full.
	clock := func() time.Duration { return time.Since(start) + time.Minute }
	peers := &testPeers{minters: map[string]*Minters{}, cut: map[string]bool{}}
	limiters := map[string]*Limiter{}
	for _, z := range zones {
		fleet := &testFleet{zone: z, doc: doc}
		minters := NewMinters(fleet, clock)
		minters.role(0, customer.MinterRole(z, "acme"), 1)
		peers.minters[z] = minters
		limiters[z] = New(Options{Fleet: fleet, Peers: peers, Minters: minters, Clock: clock, Counters: telemetry.NewCounters()})
		t.Cleanup(limiters[z].Close)
	}
	return limiters, peers
}

// Guards against tokens of other zones being out of reach of a zone with all
// the demand, and against more than the burst being admitted.
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
	most := 8 + 8*time.Since(begin).Seconds()
	assert.Assert(t, admitted >= 8, "admitted %d", admitted)
	assert.Assert(t, float64(admitted) <= most, "admitted %d, at most %f", admitted, most)
}

// Guards against a cut-off zone stopping altogether: it keeps its own share.
func TestCutOffZoneKeepsItsShare(t *testing.T) {
	limiters, peers := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 8, Burst: 8}, "a", "b")
	peers.cut["b"] = true
	for range 4 {
		assert.NilError(t, limiters["a"].Admit(context.Background(), "acme"))
	}
}

// Guards against a refusal that says that a customer is over its rate when the
// hosts with its tokens do not answer.
func TestRefusalTellsMissingTokensFromTheRate(t *testing.T) {
	limiters, peers := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 4, Burst: 4}, "a", "b")
	exhaust := func() error {
		for {
			if err := limiters["a"].Admit(context.Background(), "acme"); err != nil {
				return err
			}
		}
	}
	assert.ErrorContains(t, exhaust(), "is over its rate")
	peers.cut["b"] = true
	assert.ErrorContains(t, exhaust(), "zones that do not answer: 1")
	assert.Assert(t, limiters["a"].opts.Counters.Get("tokens_unavailable") > 0)
}

// Guards against a caller that has gone leaving its waiter behind.
func TestAbandonedRequestIsNotRun(t *testing.T) {
	limiters, _ := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 1, Burst: 1}, "a")
	assert.NilError(t, limiters["a"].Admit(context.Background(), "acme"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := limiters["a"].Admit(ctx, "acme")
	assert.Equal(t, verdict.From(err).Verdict, verdict.NotRun)
	a := limiters["a"].customer("acme")
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, len(a.waiters), 0)
}

// Guards against a host that does not hold the role granting tokens.
func TestGrantNeedsTheRole(t *testing.T) {
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

// Guards against returned tokens that are saved up beyond the life of a grant, or
// used twice.
func TestReturnedTokenServesOneRequest(t *testing.T) {
	limiters, _ := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 0.05, Burst: 2}, "a")
	l := limiters["a"]
	admit := func() bool { return l.Admit(context.Background(), "acme") == nil }
	assert.Assert(t, admit())
	assert.Assert(t, admit())
	assert.Assert(t, !admit())
	l.Return("acme")
	assert.Assert(t, admit())
	assert.Assert(t, !admit())
	l.Return("acme")
	time.Sleep(customer.GrantValidity + 20*time.Millisecond)
	assert.Assert(t, !admit())
}
