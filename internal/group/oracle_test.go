package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// oracle records the acknowledged writes in order and checks every answer to a
// session against them and the logs of the modelled databases.
type oracle struct {
	s           *sim
	writeCount  int
	ackedWrites []ackedWrite
	violation   string

	ackCount, primaryReadCount, replicaReadCount, connectCount, ageCount int
}

type ackedWrite struct {
	write int
	at    time.Duration
	// lost is set when a promotion dropped the write. DurabilityPrimary allows
	// this; with DurabilityReplicated it is also a violation.
	lost bool
}

// session is one client. seenWrites are the writes that its reads must contain.
type session struct {
	floor      Token
	seenWrites []int
}

func newOracle(s *sim) *oracle { return &oracle{s: s} }

// fail records the first violation.
func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%v: ", o.s.now) + fmt.Sprintf(format, args...)
	}
}

func contains(log []simEntry, write int) bool {
	return slices.ContainsFunc(log, func(e simEntry) bool { return e.write == write })
}

// checkPromotion checks that a new primary holds every acknowledged write, and marks
// the writes that it does not hold as lost.
func (o *oracle) checkPromotion(db *simDB) {
	if db.promoted[db.term] {
		return
	}
	db.promoted[db.term] = true
	for i := range o.ackedWrites {
		a := &o.ackedWrites[i]
		if a.lost || contains(db.log, a.write) {
			continue
		}
		if o.s.durability == config.DurabilityReplicated {
			o.fail("write %d was acknowledged at %v and lost by the promotion of db%d to term %d", a.write, a.at, db.id, db.term)
		}
		a.lost = true
	}
}

// checkAcknowledgement records an acknowledged write and checks that no primary of a
// higher term lacks it.
func (o *oracle) checkAcknowledgement(write int, term uint64) {
	for _, db := range o.s.dbs {
		for t := range db.promoted {
			if t > term && !contains(db.log, write) {
				o.fail("write %d of term %d was acknowledged by an old primary: db%d has been primary of term %d", write, term, db.id, t)
			}
		}
	}
	o.ackCount++
	o.ackedWrites = append(o.ackedWrites, ackedWrite{write: write, at: o.s.now})
}

// ackedBefore returns the writes that were acknowledged to any session before t,
// without those that a promotion lost.
func (o *oracle) ackedBefore(t time.Duration) []int {
	var list []int
	for _, a := range o.ackedWrites {
		if a.at < t && !a.lost {
			list = append(list, a.write)
		}
	}
	return list
}

// mustContain checks that the log contains the writes, except those that a promotion
// lost.
func (o *oracle) mustContain(what string, log []simEntry, writes []int) {
	have := make([]bool, o.writeCount+1)
	for _, e := range log {
		have[e.write] = true
	}
	for _, w := range writes {
		if !have[w] && !o.wasLost(w) {
			o.fail("%s lacks write %d", what, w)
		}
	}
}

func (o *oracle) wasLost(write int) bool {
	return slices.ContainsFunc(o.ackedWrites, func(a ackedWrite) bool { return a.write == write && a.lost })
}

// Clients.

// startClients starts sessions that write, read and reconnect until the end.
func (s *sim) startClients(n int, until time.Duration) {
	for range n {
		c := &session{}
		s.every(30*time.Millisecond, 120*time.Millisecond, func() {
			if s.now > until {
				return
			}
			h := s.hosts[s.rnd.IntN(s.n+1)]
			switch s.rnd.IntN(8) {
			case 0, 1, 2:
				s.clientWrite(c, s.randomOwner())
			case 3:
				s.primaryRead(c, s.randomOwner())
			case 4:
				*c = session{}
				s.connect(c, s.randomOwner())
			default:
				s.replicaRead(c, h, s.dbs[s.rnd.IntN(s.n)])
			}
		})
	}
}

// randomOwner returns one of the hosts whose machine reports that it owns the group,
// or any host if there is none. After a partition or a pause there can be several.
func (s *sim) randomOwner() *simHost {
	owners := slices.DeleteFunc(slices.Clone(s.hosts), func(h *simHost) bool { return !h.m.Owns() })
	if len(owners) == 0 {
		owners = s.hosts
	}
	return owners[s.rnd.IntN(len(owners))]
}

// openPrimary returns the primary and the term in which the host may use it.
func (s *sim) openPrimary(h *simHost) (*simDB, uint64, bool) {
	if h.down {
		return nil, 0, false
	}
	s.passLease(h)
	name, _, _ := h.m.Primary()
	term, ok := h.m.WritableTerm(name)
	if !ok {
		return nil, 0, false
	}
	return s.dbs[idFromName(name)], term, true
}

// awaitDecision calls done with the decision, or with Wait after 2 s.
func (s *sim) awaitDecision(h *simHost, quorum bool, decide func(now time.Duration) Decision, done func(Decision)) {
	s.passLease(h)
	h.waiters = append(h.waiters, &simWaiter{deadline: s.now + 2*time.Second, quorum: quorum, decide: decide, done: done})
	s.resolveWaiters(h)
}

// clientWrite writes on the primary and reports the acknowledgement, if any, to the
// oracle.
func (s *sim) clientWrite(c *session, h *simHost) {
	s.runOnHost(h, func() {
		db, term, ok := s.openPrimary(h)
		if !ok {
			return
		}
		s.oracle.writeCount++
		w, m := s.oracle.writeCount, h.m
		var at, position uint64
		s.callDB(h, db, func() bool {
			if db.role != dbconn.Primary {
				return false
			}
			db.log = append(db.log, simEntry{term: db.term, write: w, key: w % 5})
			db.applied = len(db.log)
			at, position = db.term, db.position(s, len(db.log))
			return true
		}, func(ok bool) {
			if !ok || at != term || h.m != m {
				return // reported as MayHaveRun
			}
			s.awaitDecision(h, false, func(now time.Duration) Decision { return m.DecideWrite(now, term, position) }, func(d Decision) {
				if d == Acknowledge {
					s.oracle.checkAcknowledgement(w, term)
					c.floor = c.floor.Max(Token{"g", term, position})
					c.seenWrites = append(c.seenWrites, w)
				}
			})
		})
	})
}

// primaryRead checks that an acknowledged read of the primary contains every write
// that was acknowledged before it started.
func (s *sim) primaryRead(c *session, h *simHost) {
	s.runOnHost(h, func() {
		db, term, ok := s.openPrimary(h)
		if !ok {
			return
		}
		startedAt, m := s.now, h.m
		var st dbconn.Status
		var log []simEntry
		s.callDB(h, db, func() bool { st, log = db.status(s), db.log[:db.applied]; return true }, func(ok bool) {
			if !ok || st.Role != dbconn.Primary || st.Term != term || h.m != m {
				return
			}
			requestedAt := s.clock(h)
			s.awaitDecision(h, true, func(now time.Duration) Decision { return m.DecideRead(now, term, requestedAt) }, func(d Decision) {
				if d == Acknowledge {
					s.oracle.primaryReadCount++
					s.oracle.mustContain(fmt.Sprintf("read on primary db%d in term %d", db.id, term), log, s.oracle.ackedBefore(startedAt))
				}
			})
		})
	})
}

// connect sets the floor of a session without a token to the primary's position.
func (s *sim) connect(c *session, h *simHost) {
	s.runOnHost(h, func() {
		startedAt, requestedAt, m := s.now, s.clock(h), h.m
		var got Sample
		s.awaitDecision(h, true, func(now time.Duration) (d Decision) {
			got, d = m.PositionSince(now, requestedAt)
			return d
		}, func(d Decision) {
			if d == Acknowledge {
				s.oracle.connectCount++
				c.floor = c.floor.Max(Token{"g", got.Term, got.Position})
				c.seenWrites = append(c.seenWrites, s.oracle.ackedBefore(startedAt)...)
			}
		})
	})
}

// replicaRead checks that a replica that covers the session's floor holds the writes
// the session has seen, and that the reported age of its data is not too low. It
// allows for the difference of clock rates.
func (s *sim) replicaRead(c *session, h *simHost, db *simDB) {
	s.runOnHost(h, func() {
		floor, seenWrites, m := c.floor, slices.Clone(c.seenWrites), h.m
		var st dbconn.Status
		var log []simEntry
		s.callDB(h, db, func() bool { st, log = db.status(s), db.log[:db.applied]; return true }, func(ok bool) {
			if !ok || h.m != m || st.Role != dbconn.Replica {
				return
			}
			if floor.Term > 0 && Covers(st, floor) {
				s.oracle.replicaReadCount++
				s.oracle.mustContain(fmt.Sprintf("read on replica db%d at floor %s", db.id, floor), log, seenWrites)
			}
			if age, ok := m.DataAge(s.clock(h), st.Term, st.Position); ok {
				s.oracle.ageCount++
				s.oracle.mustContain(fmt.Sprintf("read on replica db%d of age %v", db.id, age), log, s.oracle.ackedBefore(s.now-age-age/50))
			}
		})
	})
}
