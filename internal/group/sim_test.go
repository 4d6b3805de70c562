package group

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// The simulation runs several machines against models of databases, a table
// service and host leases. Time is virtual, and all randomness comes from one seed.

const (
	simMaxDatabases = 5 // databases, each in its own zone
	// simTTL is the duration of a host lease.
	simTTL = 3 * time.Second
	// simLapseWait is the time without a renewal after which an observer regards a
	// lease as lapsed. The 2 % cover the difference of two clock rates.
	simLapseWait = simTTL + simTTL/50
	// simDrift is the largest difference between the rate of a clock and 1.
	simDrift   = 0.0095
	simTimeout = 500 * time.Millisecond
	// simTermShift is the number of low bits of a position that hold the log index.
	simTermShift = 20
)

var errSim = errors.New("no answer")

type simEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type simEntry struct {
	term  uint64
	write int // 0 for the first entry of a term
	key   int
}

type simDB struct {
	id           int
	down         bool
	lagging      bool
	term         uint64
	role         dbconn.Role
	primary      int
	log          []simEntry
	applied      int
	ackedEntries map[int]int // by replica, the log length that it has acknowledged
	termStart    int         // number of log entries before its term as primary
	promoted     map[uint64]bool
}

type leaseRow struct{ incarnation, counter uint64 }

// leaseView is another host's lease as read by one host.
type leaseView struct {
	row                  leaseRow
	rowFirstSeen         time.Duration
	incarnationFirstSeen time.Duration
}

type simHost struct {
	id, zone    int
	generation  int // incremented at each start and crash
	down        bool
	pausedUntil time.Duration
	inbox       []func()

	// rate and offset are those of the host's clock relative to the virtual time.
	rate   float64
	offset time.Duration

	m            *Machine
	incarnation  uint64
	leaseCounter uint64
	leaseUntil   time.Duration
	leaseGranted bool
	leaseViews   map[int]*leaseView
	lapsedHosts  map[Host]bool
	waiters      []*simWaiter
	homes        [simMaxDatabases]Host
	outOfService [simMaxDatabases]bool
}

// simWaiter is a client call that waits for a decision of the machine.
type simWaiter struct {
	deadline time.Duration
	quorum   bool
	decide   func(now time.Duration) Decision
	done     func(Decision)
}

type sim struct {
	rnd *rand.Rand
	now time.Duration
	// n is the number of databases and zones. Hosts 0 to n-1 are in the zone of
	// their database, host n is in zone 0.
	n     int
	queue simQueue
	seq   uint64

	durability config.Durability
	disabled   disabledGuards
	// omitTermInPositions violates the contract that positions grow with the term.
	omitTermInPositions bool

	dbs   []*simDB
	hosts []*simHost

	linkCuts         [simMaxDatabases][simMaxDatabases]int
	storeCuts        [simMaxDatabases]int
	storeOutages     int
	lostStoreAnswers int
	slowNetworks     int
	outOfService     [simMaxDatabases]bool

	groupRow store.Row
	leases   map[int]leaseRow
	homes    [simMaxDatabases]int
	// onCount runs when a host's machine emits a counter.
	onCount func(h *simHost, name string)
	// loseNextAnswerOf is the host that loses the answer to its next store call.
	loseNextAnswerOf *simHost
	// crashAt crashes the next host that emits the counter.
	crashAt string
	steps   map[string]int

	oracle *oracle
}

func newSim(seed uint64, n int, durability config.Durability, disabled disabledGuards) *sim {
	s := &sim{
		n: n, rnd: rand.New(rand.NewPCG(seed, seed)), durability: durability, disabled: disabled,
		leases: map[int]leaseRow{}, steps: map[string]int{},
	}
	s.oracle = newOracle(s)
	for i := range s.n {
		db := &simDB{id: i, term: 1, role: dbconn.Replica, ackedEntries: map[int]int{}, promoted: map[uint64]bool{}}
		s.dbs = append(s.dbs, db)
		s.homes[i] = i
		s.every(5*time.Millisecond, 15*time.Millisecond, func() { s.replicate(db) })
		s.every(2*time.Millisecond, 20*time.Millisecond, func() { s.apply(db) })
	}
	s.dbs[0].promote(1)
	for i := range s.n + 1 {
		h := &simHost{id: i, zone: i % s.n, rate: 1 + simDrift*(2*s.rnd.Float64()-1), offset: s.randomBetween(0, time.Hour)}
		s.hosts = append(s.hosts, h)
		s.start(h)
		s.every(50*time.Millisecond, 52*time.Millisecond, func() { s.runOnHost(h, func() { s.tick(h) }) })
		s.every(9*time.Millisecond, 11*time.Millisecond, func() { s.runOnHost(h, func() { s.requestStatus(h) }) })
		s.every(900*time.Millisecond, time.Second, func() { s.runOnHost(h, func() { s.renew(h) }) })
		s.every(250*time.Millisecond, 300*time.Millisecond, func() { s.runOnHost(h, func() { s.scan(h) }) })
	}
	s.every(400*time.Millisecond, 500*time.Millisecond, s.assignHomes)
	return s
}

func (s *sim) randomBetween(a, b time.Duration) time.Duration { return a + randomDuration(s.rnd, b-a) }

func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

// every calls run repeatedly, at random intervals between a and b.
func (s *sim) every(a, b time.Duration, run func()) {
	s.schedule(s.randomBetween(0, b), func() {
		run()
		s.repeat(a, b, run)
	})
}

func (s *sim) repeat(a, b time.Duration, run func()) {
	s.schedule(s.randomBetween(a, b), func() {
		run()
		s.repeat(a, b, run)
	})
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= t && s.oracle.violation == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, t)
}

// delay returns the delay of one message. On a slow network, a quarter of the
// messages take up to 700 ms and are delivered out of order.
func (s *sim) delay() time.Duration {
	if s.slowNetworks > 0 && s.rnd.IntN(4) == 0 {
		return s.randomBetween(0, 700*time.Millisecond)
	}
	return s.randomBetween(300*time.Microsecond, 3*time.Millisecond)
}

// clock returns the time on the host's clock.
func (s *sim) clock(h *simHost) time.Duration {
	return h.offset + time.Duration(float64(s.now)*h.rate)
}

func (s *sim) connected(a, b int) bool { return a == b || s.linkCuts[a][b] == 0 }

// runOnHost runs a function in the host's process unless the host is down. A paused
// process runs it when it resumes.
func (s *sim) runOnHost(h *simHost, run func()) {
	switch {
	case h.down:
	case s.now < h.pausedUntil:
		if len(h.inbox) == 0 {
			s.schedule(h.pausedUntil-s.now, func() { s.resume(h) })
		}
		generation := h.generation
		h.inbox = append(h.inbox, func() {
			if h.generation == generation {
				run()
			}
		})
	default:
		run()
	}
}

// resume runs the queued functions of a paused host in random order.
func (s *sim) resume(h *simHost) {
	inbox := h.inbox
	h.inbox = nil
	s.rnd.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, run := range inbox {
		if !h.down {
			run()
		}
	}
}

// call runs serve at the remote end after one delay, and answer at the host after
// another delay. The function ok reports whether messages are delivered at present.
// answer is passed false if the request or the answer was not delivered, if serve
// failed, or if the call took longer than simTimeout.
func (s *sim) call(h *simHost, ok func() bool, serve func() bool, answer func(ok bool)) {
	generation, sent := h.generation, s.now
	reply := func(ok bool, d time.Duration) {
		s.schedule(d, func() {
			s.runOnHost(h, func() {
				if h.generation == generation {
					answer(ok)
				}
			})
		})
	}
	s.schedule(s.delay(), func() {
		served := ok() && serve()
		s.schedule(s.delay(), func() {
			late := s.now-sent > simTimeout
			if served && ok() && !late {
				reply(true, 0)
				return
			}
			reply(false, max(sent+simTimeout-s.now, 0))
		})
	})
}

func (s *sim) callDB(h *simHost, db *simDB, serve func() bool, answer func(ok bool)) {
	s.call(h, func() bool { return !db.down && s.connected(h.zone, db.id) }, serve, answer)
}

func (s *sim) callStore(h *simHost, serve func(), answer func(ok bool)) {
	lost := (s.lostStoreAnswers > 0 && s.rnd.IntN(2) == 0) || s.loseNextAnswerOf == h
	if s.loseNextAnswerOf == h {
		s.loseNextAnswerOf = nil
	}
	up := func() bool { return s.storeOutages == 0 && s.storeCuts[h.zone] == 0 }
	s.call(h, up, func() bool { serve(); return !lost }, answer)
}

// Databases.

func (db *simDB) position(s *sim, n int) uint64 {
	if n == 0 {
		return 0
	}
	if s.omitTermInPositions {
		return uint64(n)
	}
	return db.log[n-1].term<<simTermShift | uint64(n)
}

func (db *simDB) status(s *sim) dbconn.Status {
	st := dbconn.Status{Server: dbName(db.id), Term: db.term, Role: db.role, Position: db.position(s, db.applied)}
	if db.role == dbconn.Primary {
		holds := make([]int, s.n)
		for id, n := range db.ackedEntries {
			holds[id] = n
		}
		holds[db.id] = len(db.log)
		slices.Sort(holds)
		if n := holds[(s.n-1)/2]; n > db.termStart {
			st.MajorityPosition = db.position(s, n)
		}
	}
	return st
}

func (db *simDB) fence(s *sim, term uint64) dbconn.Status {
	if term > db.term {
		db.term, db.role = term, dbconn.Detached
	}
	st := db.status(s)
	st.ReceivedPosition = db.position(s, len(db.log))
	return st
}

func (db *simDB) promote(term uint64) bool {
	if term != db.term {
		return false
	}
	if db.role == dbconn.Primary {
		return true
	}
	db.role, db.ackedEntries, db.termStart = dbconn.Primary, map[int]int{}, len(db.log)
	db.log = append(db.log, simEntry{term: term})
	db.applied = len(db.log)
	return true
}

func (db *simDB) follow(term uint64, primary int) {
	if term < db.term || primary == db.id || (term == db.term && db.role == dbconn.Primary) {
		return
	}
	db.term, db.role, db.primary = term, dbconn.Replica, primary
}

// replicate copies the primary's log to the replica. The acknowledgement reaches the
// primary after a delay.
func (s *sim) replicate(db *simDB) {
	p := s.dbs[db.primary]
	if db.down || p.down || db.role != dbconn.Replica || p.role != dbconn.Primary || p.term != db.term || !s.connected(db.id, p.id) {
		return
	}
	common := min(len(db.log), len(p.log))
	for common > 0 && db.log[common-1] != p.log[common-1] {
		common--
	}
	db.log = append(db.log[:common:common], p.log[common:]...)
	db.applied = min(db.applied, common)
	n, term := len(db.log), db.term
	s.schedule(s.delay(), func() {
		if !p.down && p.role == dbconn.Primary && p.term == term && s.connected(db.id, p.id) && db.term == term {
			p.ackedEntries[db.id] = max(p.ackedEntries[db.id], n)
		}
	})
}

func (s *sim) apply(db *simDB) {
	if !db.down && !db.lagging && db.role == dbconn.Replica {
		db.applied = min(db.applied+1+s.rnd.IntN(8), len(db.log))
	}
}

func dbName(i int) string        { return fmt.Sprintf("db%d", i) }
func hostName(i int) string      { return fmt.Sprintf("h%d", i) }
func idFromName(name string) int { return int(name[len(name)-1] - '0') }

// Hosts.

func (s *sim) start(h *simHost) {
	h.generation++
	h.incarnation = s.leases[h.id].incarnation + 1 + uint64(h.generation)
	h.leaseUntil, h.leaseGranted, h.leaseCounter = 0, false, 0
	h.leaseViews, h.lapsedHosts = map[int]*leaseView{}, map[Host]bool{}
	h.waiters, h.inbox = nil, nil
	h.homes = [simMaxDatabases]Host{}
	h.m = New(Options{Group: "g", Self: s.hostIdentity(h), Timing: DefaultTiming()})
	h.m.disabled = s.disabled
	s.renew(h)
	s.scan(h)
}

func (s *sim) hostIdentity(h *simHost) Host {
	return Host{Name: hostName(h.id), Zone: dbName(h.zone), Incarnation: h.incarnation}
}

func (s *sim) crash(h *simHost, d time.Duration) {
	if h.down {
		return
	}
	h.down = true
	h.generation++
	s.schedule(d, func() {
		h.down = false
		h.pausedUntil = 0
		s.start(h)
	})
}

// renew renews the host lease. After a lapsed lease, the host takes a new incarnation.
func (s *sim) renew(h *simHost) {
	if h.leaseGranted && s.clock(h) >= h.leaseUntil {
		h.incarnation++
		h.leaseGranted, h.leaseUntil = false, 0
	}
	h.leaseCounter++
	row, sent := leaseRow{h.incarnation, h.leaseCounter}, s.clock(h)
	s.callStore(h, func() {
		if old := s.leases[h.id]; row.incarnation > old.incarnation || (row.incarnation == old.incarnation && row.counter > old.counter) {
			s.leases[h.id] = row
		}
	}, func(ok bool) {
		if !ok || h.incarnation != row.incarnation || s.leases[h.id].incarnation != row.incarnation || (h.leaseGranted && s.clock(h) >= h.leaseUntil) {
			return
		}
		h.leaseGranted, h.leaseUntil = true, max(h.leaseUntil, sent+simTTL)
	})
}

// scan reads all lease rows and passes the topology to the host's machine.
func (s *sim) scan(h *simHost) {
	sent := s.clock(h)
	rows := map[int]leaseRow{}
	s.callStore(h, func() {
		for id, r := range s.leases {
			rows[id] = r
		}
		for i, id := range s.homes[:s.n] {
			h.homes[i] = s.hostIdentity(s.hosts[id])
		}
		h.outOfService = s.outOfService
	}, func(ok bool) {
		if !ok {
			return
		}
		for id, r := range rows {
			s.observeLease(h, id, r, sent)
		}
		servers := []Server{}
		for i := range s.n {
			servers = append(servers, Server{Name: dbName(i), Zone: dbName(i), Home: h.homes[i], OutOfService: h.outOfService[i]})
		}
		s.stepMachine(h, Topology{Servers: servers, Durability: s.durability})
	})
}

// observeLease updates the host's view of another host's lease, and records the
// incarnations whose lease must have lapsed.
func (s *sim) observeLease(h *simHost, id int, r leaseRow, sent time.Duration) {
	v := h.leaseViews[id]
	switch {
	case v == nil:
		h.leaseViews[id] = &leaseView{row: r, rowFirstSeen: s.clock(h), incarnationFirstSeen: s.clock(h)}
		return
	case r.incarnation > v.row.incarnation:
		v.row, v.rowFirstSeen, v.incarnationFirstSeen = r, s.clock(h), s.clock(h)
	case r.counter > v.row.counter && r.incarnation == v.row.incarnation:
		v.row, v.rowFirstSeen = r, s.clock(h)
	case sent >= v.rowFirstSeen+simLapseWait:
		h.lapsedHosts[Host{Name: hostName(id), Incarnation: v.row.incarnation}] = true
	}
	if sent >= v.incarnationFirstSeen+simLapseWait {
		for inc := range v.row.incarnation {
			h.lapsedHosts[Host{Name: hostName(id), Incarnation: inc}] = true
		}
	}
}

// assignHomes moves the home roles of hosts that are down, as the fleet does.
func (s *sim) assignHomes() {
	if s.storeOutages > 0 {
		return
	}
	for i, id := range s.homes[:s.n] {
		if !s.hosts[id].down && s.storeCuts[s.hosts[id].zone] == 0 && s.now >= s.hosts[id].pausedUntil {
			continue
		}
		for _, h := range s.hosts {
			better := h.zone == i || s.hosts[s.homes[i]].down
			if !h.down && s.storeCuts[h.zone] == 0 && s.now >= h.pausedUntil && better {
				s.homes[i] = h.id
				break
			}
		}
	}
}

func (s *sim) tick(h *simHost) {
	s.stepMachine(h, Tick{})
	if o, ok := h.m.WatchedOwner(); ok && h.lapsedHosts[o] {
		s.stepMachine(h, LeaseLapsed{Host: o.Name, Incarnation: o.Incarnation})
	}
}

func (s *sim) passLease(h *simHost) {
	h.m.Step(s.clock(h), Lease{Incarnation: h.incarnation, Until: h.leaseUntil})
}

func (s *sim) stepMachine(h *simHost, in Input) {
	s.passLease(h)
	generation := h.generation
	for _, a := range slices.Clone(h.m.Step(s.clock(h), in)) {
		if h.generation != generation {
			return
		}
		s.performAction(h, a)
	}
	if h.generation == generation {
		s.resolveWaiters(h)
	}
}

func (s *sim) resolveWaiters(h *simHost) {
	s.passLease(h)
	waiters := h.waiters
	h.waiters = nil
	for _, w := range waiters {
		d := w.decide(s.clock(h))
		if d == Wait && s.now < w.deadline {
			h.waiters = append(h.waiters, w)
			continue
		}
		w.done(d)
	}
}

// requestStatus requests status polls while client calls wait for a decision.
func (s *sim) requestStatus(h *simHost) {
	if len(h.waiters) == 0 {
		return
	}
	quorum := slices.ContainsFunc(h.waiters, func(w *simWaiter) bool { return w.quorum })
	s.stepMachine(h, StatusRequested{Quorum: quorum && h.m.NeedsQuorum(s.clock(h))})
}

func answerErr(ok bool) error {
	if ok {
		return nil
	}
	return errSim
}

func (s *sim) performAction(h *simHost, a Action) {
	switch v := a.(type) {
	case Count:
		s.steps[v.Name]++
		if s.onCount != nil {
			s.onCount(h, v.Name)
		}
		if s.crashAt == v.Name {
			s.crashAt = ""
			s.crash(h, s.randomBetween(time.Second, 6*time.Second))
		}
	case ReadRow:
		var row store.Row
		s.callStore(h, func() { row = s.groupRow }, func(ok bool) {
			answer := RowAnswer{ID: v.ID, Revision: row.Revision, Err: answerErr(ok)}
			if ok && row.Revision > 0 {
				answer.Row, answer.Err = DecodeRow(row.Value)
			}
			s.stepMachine(h, answer)
		})
	case Swap:
		answer := SwapAnswer{WriteID: v.Row.WriteID, Outcome: Conflict}
		s.callStore(h, func() {
			if s.groupRow.Revision == v.Expect {
				value, _ := v.Row.Encode()
				s.groupRow = store.Row{Value: value, Revision: v.Expect + 1}
				answer.Outcome, answer.Revision = Swapped, v.Expect+1
			}
		}, func(ok bool) {
			if !ok {
				answer.Outcome = Unknown
			}
			s.stepMachine(h, answer)
		})
	case Poll:
		db := s.dbs[idFromName(v.Server)]
		var st dbconn.Status
		s.callDB(h, db, func() bool { st = db.status(s); return true }, func(ok bool) {
			s.stepMachine(h, StatusAnswer{Server: v.Server, Sent: v.Sent, Status: st, Err: answerErr(ok)})
		})
	case Fence:
		db := s.dbs[idFromName(v.Server)]
		var st dbconn.Status
		s.callDB(h, db, func() bool { st = db.fence(s, v.Term); return true }, func(ok bool) {
			s.stepMachine(h, FenceAnswer{Server: v.Server, Term: v.Term, Status: st, Err: answerErr(ok)})
		})
	case Promote:
		db := s.dbs[idFromName(v.Server)]
		s.callDB(h, db, func() bool {
			ok := db.promote(v.Term)
			if ok {
				s.oracle.checkPromotion(db)
			}
			return ok
		}, func(ok bool) {
			s.stepMachine(h, PromoteAnswer{Server: v.Server, Term: v.Term, Err: answerErr(ok)})
		})
	case Follow:
		db := s.dbs[idFromName(v.Server)]
		s.callDB(h, db, func() bool { db.follow(v.Term, idFromName(v.Primary)); return true }, func(bool) {})
	case RequestReport:
		o := s.hosts[idFromName(v.Host)]
		var r Report
		var at time.Duration
		reachable := func() bool { return !o.down && s.now >= o.pausedUntil && s.connected(h.zone, o.zone) }
		s.call(h, reachable, func() bool {
			s.stepMachine(o, ReportRequested{})
			if o.down {
				return false
			}
			r, at = o.m.Report(s.clock(o)), s.clock(o)
			return true
		}, func(ok bool) {
			for i := range r.Samples { // as the caller of Step converts ages
				r.Samples[i].At = v.Sent - (at - r.Samples[i].At)
			}
			s.stepMachine(h, ReportAnswer{Host: v.Host, Sent: v.Sent, Report: r, Err: answerErr(ok)})
		})
	}
}
