package budget

import "time"

// Account is a use of memory that is bounded on its own.
type Account int

// The accounts of a Budget.
const (
	// Input holds the read buffers of messages that are not complete.
	Input Account = iota
	// State holds the values and prepared statements of sessions.
	State
	// Statements holds the copies of statements under way.
	Statements
	// Answers holds answers that the client has not taken yet.
	Answers
	// Peers holds the incomplete and unfinished calls of other hosts.
	Peers
	accounts
)

// rule is how an account is bounded.
type rule struct {
	// name is used in counters and log lines.
	name string
	// share is the share of the process's memory limit.
	share float64
	// ownerShare is the share of the account that one customer, or one address before the
	// customer is known, may hold.
	ownerShare float64
	// minAge is how long a holder must have held its bytes before it can be closed.
	minAge time.Duration
	// minRatio is how many times as much a holder must hold as the request would, to be
	// closed for it. Zero means that no holder of the account is ever closed.
	minRatio float64
	// idleOnly spares sessions that have a statement or a transaction under way.
	idleOnly bool
}

// Incomplete messages and answers not taken are judged by their age: within the limits
// both take milliseconds. State is judged by its size only, since idle sessions behave.
var rules = [accounts]rule{
	Input:      {name: "input", share: 0.08, ownerShare: 0.75, minAge: 250 * time.Millisecond, minRatio: 0.01},
	State:      {name: "state", share: 0.08, ownerShare: 0.5, minRatio: 4, idleOnly: true},
	Statements: {name: "statements", share: 0.12, ownerShare: 0.75},
	Answers:    {name: "answers", share: 0.08, ownerShare: 0.75, minAge: time.Second, minRatio: 0.01},
	Peers:      {name: "peers", share: 0.06, ownerShare: 1, minAge: 250 * time.Millisecond, minRatio: 0.01},
}

// holder is what one connection holds.
type holder struct {
	owner string
	held  [accounts]int64
	// since is when the holder last held nothing of the account.
	since [accounts]time.Duration
	// idle reports whether no statement or transaction is under way. claim reports the same
	// and keeps new ones from starting. close closes the connection.
	idle  func() bool
	claim func() bool
	close func()
	// closed is set when the holder was closed; it gets nothing more.
	closed bool
}

type ownerAccount struct {
	owner   string
	account Account
}

// ledger keeps the accounts. It has no lock and no clock.
type ledger struct {
	limits [accounts]int64
	used   [accounts]int64
	owners map[ownerAccount]int64
	// holders holds every holder that holds something.
	holders map[*holder]struct{}
}

func newLedger(memoryBytes int64) *ledger {
	l := &ledger{owners: map[ownerAccount]int64{}, holders: map[*holder]struct{}{}}
	l.setMemory(memoryBytes)
	return l
}

func (l *ledger) setMemory(memoryBytes int64) {
	for a, r := range rules {
		l.limits[a] = int64(r.share * float64(memoryBytes))
	}
}

// reserve adds n bytes to what h holds of the account. closed lists the holders that lose
// all they hold for it; they must be closed. ok is false if the request is refused.
func (l *ledger) reserve(now time.Duration, h *holder, a Account, n int64) (closed []*holder, ok bool) {
	if h.closed {
		return nil, false
	}
	r := rules[a]
	ownerLimit := int64(r.ownerShare * float64(l.limits[a]))
	if h.held[a]+n > ownerLimit {
		return nil, false
	}
	for l.owners[ownerAccount{h.owner, a}]+n > ownerLimit || l.used[a]+n > l.limits[a] {
		ofOwner := l.owners[ownerAccount{h.owner, a}]+n > ownerLimit
		v := l.victim(now, h, a, n, ofOwner)
		if v == nil {
			return closed, false
		}
		if r.idleOnly && !v.claim() {
			continue // a statement has arrived since
		}
		v.closed = true
		l.drop(v)
		closed = append(closed, v)
	}
	if h.held[a] == 0 {
		h.since[a] = now
	}
	l.add(h, a, n)
	return closed, true
}

// victim returns the holder of the account that holds the most for the longest time among
// those that may be closed for the request, or nil.
func (l *ledger) victim(now time.Duration, h *holder, a Account, n int64, ofOwner bool) *holder {
	r := rules[a]
	if r.minRatio == 0 {
		return nil
	}
	var worst *holder
	var worstScore float64
	for v := range l.holders {
		age := now - v.since[a]
		switch {
		case v == h || v.held[a] == 0 || age < r.minAge,
			ofOwner && v.owner != h.owner,
			float64(v.held[a]) < r.minRatio*float64(h.held[a]+n),
			r.idleOnly && !v.idle():
			continue
		}
		score := float64(v.held[a])
		if r.minAge > 0 {
			score *= age.Seconds()
		}
		if worst == nil || score > worstScore {
			worst, worstScore = v, score
		}
	}
	return worst
}

// add changes what h holds of the account by n bytes.
func (l *ledger) add(h *holder, a Account, n int64) {
	h.held[a] += n
	l.used[a] += n
	key := ownerAccount{h.owner, a}
	if l.owners[key] += n; l.owners[key] == 0 {
		delete(l.owners, key)
	}
	if h.held == ([accounts]int64{}) {
		delete(l.holders, h)
	} else {
		l.holders[h] = struct{}{}
	}
}

// release gives n bytes back. What a closed holder held has been given back already.
func (l *ledger) release(h *holder, a Account, n int64) {
	if !h.closed {
		l.add(h, a, -min(n, h.held[a]))
	}
}

// drop gives back all that h holds.
func (l *ledger) drop(h *holder) {
	for a, n := range h.held {
		if n != 0 {
			l.add(h, Account(a), -n)
		}
	}
}

// setOwner moves what h holds to another owner.
func (l *ledger) setOwner(h *holder, owner string) {
	held := h.held
	l.drop(h)
	h.owner = owner
	if !h.closed {
		for a, n := range held {
			if n != 0 {
				l.add(h, Account(a), n)
			}
		}
	}
}
