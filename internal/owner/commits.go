package owner

import (
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// mark is a position of one term.
type mark struct {
	term     uint64
	position uint64
}

// commits remembers, while this host owns a group, the newest acknowledged
// commit of each customer. A session that connects without a token needs to see
// its own customer's writes only, so that replicas can serve it although other
// customers have just written.
type commits struct {
	owned bool
	// base covers every commit acknowledged before this host became the owner.
	// It is taken after the home host has evicted the data connections of its
	// predecessor, because a commit on one of them could still be acknowledged.
	base       mark
	known      bool
	byCustomer map[string]mark
}

// trackOwnership forgets everything when ownership is gained or lost: another
// owner may have acknowledged commits in between. The lock is held.
func (r *runner) trackOwnership() {
	if owns := r.machine.Owns(); owns != r.commits.owned {
		r.commits = commits{owned: owns, byCustomer: map[string]mark{}}
	}
}

// Committed notes a commit of the customer that is about to be acknowledged.
func (o *Owner) Committed(name, customer string, term, position uint64) {
	r := o.runner(name)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.commits.owned {
		return
	}
	if old := r.commits.byCustomer[customer]; term > old.term || (term == old.term && position > old.position) {
		r.commits.byCustomer[customer] = mark{term, position}
	}
}

// committed returns a position that covers every acknowledged commit of the
// customer, if this host's authority as owner is certain at this moment.
func (r *runner) committed(customer string) (*peerpb.PositionResponse, bool) {
	r.mu.Lock()
	r.trackOwnership()
	now := r.lease()
	_, term, open := r.machine.Primary()
	sure := open && r.commits.known && r.machine.DecideRead(now, term, now) == group.Acknowledge
	at, ok := r.commits.byCustomer[customer]
	if !ok {
		at = r.commits.base
	}
	r.mu.Unlock()
	if !sure {
		return nil, false
	}
	resp := r.response(nil)
	if resp.GetOwner() != "" {
		return nil, false
	}
	resp.Known = true
	resp.Position = &peerpb.Token{Group: r.name, Term: at.term, Position: at.position}
	return resp, true
}

// setBase keeps a sample that was asked for after the takeover of the primary
// had ended.
func (r *runner) setBase(s group.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.commits.owned && !r.commits.known {
		r.commits.base, r.commits.known = mark{s.Term, s.Position}, true
	}
}

// takenOver reports whether the home host has taken the primary over, and the
// ownership under which that was asked.
func (r *runner) takenOver() bool {
	r.mu.Lock()
	r.trackOwnership()
	primary, _, open := r.machine.Primary()
	owned := r.commits.owned
	r.mu.Unlock()
	return open && owned && r.o.opt.TakenOver(primary)
}
