package owner

import (
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// logPosition is a log position in one term.
type logPosition struct {
	term     uint64
	position uint64
}

// commitPositions records, while this host owns a group, the newest acknowledged
// commit of each customer. A session that connects without a token only has to
// see the writes of its own customer, so that replicas can serve it even if other
// customers have just written.
type commitPositions struct {
	ownsGroup bool
	// basePosition covers every commit acknowledged before this host became the
	// owner. It is sampled after the home host has evicted the data connections of
	// its predecessor, because a commit on one of them could still be acknowledged.
	// It is valid only if baseKnown is set.
	basePosition logPosition
	baseKnown    bool
	byCustomer   map[string]logPosition
}

// resetCommitsOnOwnershipChange discards the recorded positions when ownership
// is gained or lost, because another owner may have acknowledged commits in
// between. The caller holds r.mu.
func (r *runner) resetCommitsOnOwnershipChange() {
	if owns := r.machine.Owns(); owns != r.commits.ownsGroup {
		r.commits = commitPositions{ownsGroup: owns, byCustomer: map[string]logPosition{}}
	}
}

// RecordCommit records a commit of the customer that is about to be acknowledged.
// It does nothing on a host that does not own the group.
func (o *Owner) RecordCommit(name, customer string, term, position uint64) {
	r := o.runner(name)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.commits.ownsGroup {
		return
	}
	if old := r.commits.byCustomer[customer]; term > old.term || (term == old.term && position > old.position) {
		r.commits.byCustomer[customer] = logPosition{term, position}
	}
}

// committedPosition returns a response with a position that covers every
// acknowledged commit of the customer. It returns false unless this host is the
// owner and its write authority is confirmed at the time of the call.
func (r *runner) committedPosition(customer string) (*peerpb.PositionResponse, bool) {
	r.mu.Lock()
	r.resetCommitsOnOwnershipChange()
	now := r.updateLease()
	_, term, open := r.machine.Primary()
	authoritative := open && r.commits.baseKnown && r.machine.DecideRead(now, term, now) == group.Acknowledge
	pos, ok := r.commits.byCustomer[customer]
	if !ok {
		pos = r.commits.basePosition
	}
	r.mu.Unlock()
	if !authoritative {
		return nil, false
	}
	resp := r.response(nil)
	if !resp.GetFromOwner() {
		return nil, false
	}
	resp.Known = true
	resp.Position = &peerpb.Token{Group: r.name, Term: pos.term, Position: pos.position}
	return resp, true
}

// setBasePosition stores the base position, unless this host does not own the
// group or has already stored one. The sample must have been requested after the
// takeover of the primary was complete.
func (r *runner) setBasePosition(s group.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.commits.ownsGroup && !r.commits.baseKnown {
		r.commits.basePosition, r.commits.baseKnown = logPosition{s.Term, s.Position}, true
	}
}

// takeoverDone reports whether this host owns the group and the primary's home
// host has completed the takeover of the primary. It first resets the recorded
// positions if ownership has changed.
func (r *runner) takeoverDone() bool {
	r.mu.Lock()
	r.resetCommitsOnOwnershipChange()
	primary, _, open := r.machine.Primary()
	owned := r.commits.ownsGroup
	r.mu.Unlock()
	return open && owned && r.o.opt.TakeoverDone(primary)
}
