package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// oracle knows what was told to whom: the acknowledged writes, in order, and
// the floor of each session. It checks every answer against the logs of the
// modelled databases.
type oracle struct {
	s         *sim
	writes    int
	acked     []ackedWrite
	violation string

	acks, primaryReads, replicaReads, connects, aged int
}

type ackedWrite struct {
	write int
	at    time.Duration
	// lost is set when a promotion dropped the write although the durability
	// setting allows it.
	lost bool
}

// session is one client. told are the writes that it was told of.
type session struct {
	floor Token
	told  []int
}

func newOracle(s *sim) *oracle { return &oracle{s: s} }

func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%v: ", o.s.now) + fmt.Sprintf(format, args...)
	}
}

func contains(log []simEntry, write int) bool {
	return slices.ContainsFunc(log, func(e simEntry) bool { return e.write == write })
}

// promoted checks that a new primary holds every acknowledged write.
func (o *oracle) promoted(db *simDB) {
	if db.promoted[db.term] {
		return
	}
	db.promoted[db.term] = true
	for i := range o.acked {
		a := &o.acked[i]
		if a.lost || contains(db.log, a.write) {
			continue
		}
		if o.s.durability == config.DurabilityReplicated {
			o.fail("write %d was acknowledged at %v and lost by the promotion of db%d to term %d", a.write, a.at, db.id, db.term)
		}
		a.lost = true
	}
}

// acknowledged checks that no primary of a higher term lacks the write.
func (o *oracle) acknowledged(write int, term uint64) {
	for _, db := range o.s.dbs {
		for t := range db.promoted {
			if t > term && !contains(db.log, write) {
				o.fail("write %d of term %d was acknowledged by an old primary: db%d has been primary of term %d", write, term, db.id, t)
			}
		}
	}
	o.acks++
	o.acked = append(o.acked, ackedWrite{write: write, at: o.s.now})
}

// ackedBefore returns the writes that any session was told of before t.
func (o *oracle) ackedBefore(t time.Duration) []int {
	var list []int
	for _, a := range o.acked {
		if a.at < t && !a.lost {
			list = append(list, a.write)
		}
	}
	return list
}

func (o *oracle) mustContain(what string, log []simEntry, writes []int) {
	have := make([]bool, o.writes+1)
	for _, e := range log {
		have[e.write] = true
	}
	for _, w := range writes {
		if !have[w] && !o.wasLost(w) {
			o.fail("%s misses write %d", what, w)
		}
	}
}

func (o *oracle) wasLost(write int) bool {
	return slices.ContainsFunc(o.acked, func(a ackedWrite) bool { return a.write == write && a.lost })
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
				s.clientWrite(c, s.anOwner())
			case 3:
				s.primaryRead(c, s.anOwner())
			case 4:
				*c = session{}
				s.connect(c, s.anOwner())
			default:
				s.replicaRead(c, h, s.dbs[s.rnd.IntN(s.n)])
			}
		})
	}
}

// anOwner returns one of the hosts that believe that they own the group. After
// a partition or a pause these can be several.
func (s *sim) anOwner() *simHost {
	owners := slices.DeleteFunc(slices.Clone(s.hosts), func(h *simHost) bool { return !h.m.Owns() })
	if len(owners) == 0 {
		owners = s.hosts
	}
	return owners[s.rnd.IntN(len(owners))]
}

// openPrimary returns the primary that the host may use now.
func (s *sim) openPrimary(h *simHost) (*simDB, uint64, bool) {
	if h.down {
		return nil, 0, false
	}
	s.lease(h)
	name, _, _ := h.m.Primary()
	term, ok := h.m.Writable(name)
	if !ok {
		return nil, 0, false
	}
	return s.dbs[idOf(name)], term, true
}

func (s *sim) await(h *simHost, quorum bool, decide func(now time.Duration) Decision, done func(Decision)) {
	s.lease(h)
	h.waiters = append(h.waiters, &simWaiter{until: s.now + 2*time.Second, quorum: quorum, decide: decide, done: done})
	s.release(h)
}

func (s *sim) clientWrite(c *session, h *simHost) {
	s.local(h, func() {
		db, term, ok := s.openPrimary(h)
		if !ok {
			return
		}
		s.oracle.writes++
		w, m := s.oracle.writes, h.m
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
			s.await(h, false, func(now time.Duration) Decision { return m.DecideWrite(now, term, position) }, func(d Decision) {
				if d == Acknowledge {
					s.oracle.acknowledged(w, term)
					c.floor = c.floor.Raise(Token{"g", term, position})
					c.told = append(c.told, w)
				}
			})
		})
	})
}

func (s *sim) primaryRead(c *session, h *simHost) {
	s.local(h, func() {
		db, term, ok := s.openPrimary(h)
		if !ok {
			return
		}
		began, m := s.now, h.m
		var st dbconn.Status
		var log []simEntry
		s.callDB(h, db, func() bool { st, log = db.status(s), db.log[:db.applied]; return true }, func(ok bool) {
			if !ok || st.Role != dbconn.Primary || st.Term != term || h.m != m {
				return
			}
			asked := s.clock(h)
			s.await(h, true, func(now time.Duration) Decision { return m.DecideRead(now, term, asked) }, func(d Decision) {
				if d == Acknowledge {
					s.oracle.primaryReads++
					s.oracle.mustContain(fmt.Sprintf("read on primary db%d in term %d", db.id, term), log, s.oracle.ackedBefore(began))
				}
			})
		})
	})
}

// connect gives a session without a token the primary's position.
func (s *sim) connect(c *session, h *simHost) {
	s.local(h, func() {
		began, asked, m := s.now, s.clock(h), h.m
		var got Sample
		s.await(h, true, func(now time.Duration) (d Decision) {
			got, d = m.PositionSince(now, asked)
			return d
		}, func(d Decision) {
			if d == Acknowledge {
				s.oracle.connects++
				c.floor = c.floor.Raise(Token{"g", got.Term, got.Position})
				c.told = append(c.told, s.oracle.ackedBefore(began)...)
			}
		})
	})
}

// replicaRead checks the session's floor and the age of the data that the host
// claims, up to the difference of clock rates.
func (s *sim) replicaRead(c *session, h *simHost, db *simDB) {
	s.local(h, func() {
		floor, told, m := c.floor, slices.Clone(c.told), h.m
		var st dbconn.Status
		var log []simEntry
		s.callDB(h, db, func() bool { st, log = db.status(s), db.log[:db.applied]; return true }, func(ok bool) {
			if !ok || h.m != m || st.Role != dbconn.Replica {
				return
			}
			if floor.Term > 0 && Covers(st, floor) {
				s.oracle.replicaReads++
				s.oracle.mustContain(fmt.Sprintf("read on replica db%d at floor %s", db.id, floor), log, told)
			}
			if age, ok := m.Age(s.clock(h), st.Term, st.Position); ok {
				s.oracle.aged++
				s.oracle.mustContain(fmt.Sprintf("read on replica db%d of age %v", db.id, age), log, s.oracle.ackedBefore(s.now-age-age/50))
			}
		})
	})
}
