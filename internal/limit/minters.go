package limit

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Fleet provides roles and configuration.
type Fleet interface {
	// Zone returns this host's availability zone.
	Zone() string
	// Holder returns the peer address of the holder of a role, and false if none is
	// known. self is true if the holder is this host.
	Holder(role string) (address string, self, ok bool)
	// MintEpoch returns the epoch of a role that this host holds and may use. This
	// requires that the host's lease is live, or that every other host of its zone
	// has a promise in force not to take the role over.
	MintEpoch(role string) (epoch uint64, ok bool)
	// Document returns the configuration in force, nil before the first one has been
	// read.
	Document() *config.Document
}

// Bit positions in a grant id: that of the low bits of the role epoch, and that of the low
// bits of the store era, which is the upper part of the epoch. They keep the grant ids of
// successive holders distinct, so that a settlement for a predecessor never ends a grant of
// its successor.
const (
	epochShift = 40
	eraShift   = 56
	epochMask  = 1<<(eraShift-epochShift) - 1
)

// firstGrant returns the first grant id of the minters of a role in an epoch.
func firstGrant(epoch uint64) customer.GrantID {
	era := uint64(store.Revision(epoch).Era())
	return customer.GrantID(era<<eraShift|(epoch&epochMask)<<epochShift) + 1
}

// roleMinters holds the minters of one role in one epoch.
type roleMinters struct {
	epoch      uint64
	startedAt  time.Duration
	byCustomer map[string]*customer.Minter
	shares     map[string]customer.Limit
}

// Minters serves the Grant calls for the minter roles that this host holds. It is
// safe for concurrent use.
type Minters struct {
	fleet Fleet
	clock func() time.Duration
	// predecessorEnd is set by SetPredecessorEnd.
	predecessorEnd func(role string, epoch uint64) (time.Duration, bool)

	mu    sync.Mutex
	roles map[string]*roleMinters
}

// NewMinters returns Minters without any role. The clock must be monotonic.
func NewMinters(fleet Fleet, clock func() time.Duration) *Minters {
	return &Minters{fleet: fleet, clock: clock, roles: map[string]*roleMinters{}}
}

// RegisterRoles registers the held roles, so that the buckets of a new role start
// to fill when the host takes the role over and not at the first request. Call it
// after a change of roles.
func (m *Minters) RegisterRoles(held []string) {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, role := range held {
		if epoch, ok := m.fleet.MintEpoch(role); ok {
			m.ensureRole(now, role, epoch)
		}
	}
}

// Grant implements the Grant call of the peer API. It settles grants and then
// grants tokens. Holder is false in the response if this host does not hold the
// role.
func (m *Minters) Grant(_ context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch, ok := m.fleet.MintEpoch(req.GetRole())
	doc := m.fleet.Document()
	if !ok || doc == nil {
		return &peerpb.GrantResponse{}, nil
	}
	minter := m.ensureMinter(now, m.ensureRole(now, req.GetRole(), epoch), doc, req.GetCustomer())
	if minter == nil {
		return &peerpb.GrantResponse{Holder: true}, nil
	}
	for _, s := range req.GetSettlements() {
		minter.Settle(now, customer.GrantID(s.GetGrant()), customer.Amount(s.GetReturned()))
	}
	resp := &peerpb.GrantResponse{Holder: true}
	if requested := customer.Amount(req.GetAmount()); requested > 0 {
		valid := time.Duration(req.GetValidUs()) * time.Microsecond
		id, amount := minter.Grant(now, requested, min(valid, customer.GrantValidity))
		resp.Grant, resp.Amount = uint64(id), uint64(amount)
	}
	resp.Left = uint64(minter.Available(now))
	return resp, nil
}

// ensureRole returns the minters of a role in the epoch, and creates them if
// necessary. A new epoch starts with empty buckets. The caller holds m.mu.
func (m *Minters) ensureRole(now time.Duration, name string, epoch uint64) *roleMinters {
	r, ok := m.roles[name]
	if !ok || r.epoch != epoch {
		r = &roleMinters{epoch: epoch, startedAt: m.mintsFrom(now, name, epoch), byCustomer: map[string]*customer.Minter{}, shares: map[string]customer.Limit{}}
		m.roles[name] = r
	}
	return r
}

// ensureMinter returns the minter of the customer with its current share of the
// limit, or nil if the customer has no limit. The caller holds m.mu.
func (m *Minters) ensureMinter(now time.Duration, r *roleMinters, doc *config.Document, name string) *customer.Minter {
	l, ok := doc.Limit(name)
	if !ok {
		return nil
	}
	share := customer.Limit{Rate: l.Rate, Burst: l.Burst}.Share(len(doc.Inventory.Zones))
	minter, ok := r.byCustomer[name]
	if !ok {
		minter = customer.NewMinter(share, r.startedAt, firstGrant(r.epoch))
		r.byCustomer[name] = minter
		r.shares[name] = share
	}
	if r.shares[name] != share {
		minter.SetLimit(now, share)
		r.shares[name] = share
	}
	return minter
}
