package limit

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Fleet is what this package needs to know about roles and configuration.
type Fleet interface {
	// Zone returns this host's availability zone.
	Zone() string
	// Holder returns the peer address of the role's holder. self is true when
	// it is this host.
	Holder(role string) (address string, self, ok bool)
	// MintEpoch returns the epoch of a role held here while this host may use
	// it: its lease, or every promise of its zone, is live.
	MintEpoch(role string) (epoch uint64, ok bool)
	// Document returns the configuration in force, nil before the first.
	Document() *config.Document
}

// epochShift keeps the grant ids of successive holders apart, so that a
// settlement meant for a predecessor never ends a grant of its successor.
const epochShift = 40

// roleMinters holds the minters of one role.
type roleMinters struct {
	epoch uint64
	since time.Duration
	byID  map[string]*customer.Minter
	limit map[string]customer.Limit
}

// Minters serves the Grant calls for the roles of this host.
type Minters struct {
	fleet Fleet
	clock func() time.Duration

	mu    sync.Mutex
	roles map[string]*roleMinters
}

// NewMinters returns Minters without any role.
func NewMinters(fleet Fleet, clock func() time.Duration) *Minters {
	return &Minters{fleet: fleet, clock: clock, roles: map[string]*roleMinters{}}
}

// Watch notes newly held roles, so that their minting starts when they were
// taken over and not at the first request. Call it after a change of roles.
func (m *Minters) Watch(held []string) {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, role := range held {
		if epoch, ok := m.fleet.MintEpoch(role); ok {
			m.role(now, role, epoch)
		}
	}
}

// Grant implements the Grant call of the peer API.
func (m *Minters) Grant(_ context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch, ok := m.fleet.MintEpoch(req.GetRole())
	doc := m.fleet.Document()
	if !ok || doc == nil {
		return &peerpb.GrantResponse{}, nil
	}
	minter := m.minter(now, m.role(now, req.GetRole(), epoch), doc, req.GetCustomer())
	if minter == nil {
		return &peerpb.GrantResponse{Holder: true}, nil
	}
	for _, s := range req.GetSettlements() {
		minter.Settle(now, customer.GrantID(s.GetGrant()), customer.Amount(s.GetReturned()))
	}
	resp := &peerpb.GrantResponse{Holder: true}
	if want := customer.Amount(req.GetAmount()); want > 0 {
		valid := time.Duration(req.GetValidUs()) * time.Microsecond
		id, amount := minter.Grant(now, want, min(valid, customer.GrantValidity))
		resp.Grant, resp.Amount = uint64(id), uint64(amount)
	}
	resp.Left = uint64(minter.Left(now))
	return resp, nil
}

// role returns the minters of a role in the epoch. A new epoch starts with
// empty buckets.
func (m *Minters) role(now time.Duration, name string, epoch uint64) *roleMinters {
	r, ok := m.roles[name]
	if !ok || r.epoch != epoch {
		r = &roleMinters{epoch: epoch, since: now, byID: map[string]*customer.Minter{}, limit: map[string]customer.Limit{}}
		m.roles[name] = r
	}
	return r
}

func (m *Minters) minter(now time.Duration, r *roleMinters, doc *config.Document, name string) *customer.Minter {
	l, ok := doc.Limit(name)
	if !ok {
		return nil
	}
	share := customer.Limit{Rate: l.Rate, Burst: l.Burst}.Share(len(doc.Inventory.Zones))
	minter, ok := r.byID[name]
	if !ok {
		minter = customer.NewMinter(share, r.since, customer.GrantID(r.epoch<<epochShift)+1)
		r.byID[name] = minter
		r.limit[name] = share
	}
	if r.limit[name] != share {
		minter.SetLimit(now, share)
		r.limit[name] = share
	}
	return minter
}
