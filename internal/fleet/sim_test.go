package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// sim simulates a fleet of Fleet instances, a table service and a network. Its own
// times are on one exact simulated clock; the clock of each host runs at a slightly
// different rate.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    int

	hosts     []*simHost
	rows      map[string]store.Row
	revision  store.Revision
	objects   map[string][]byte
	documents map[string]*config.Document // by encoded data

	storeDown bool
	// loseAnswers is the percentage of store calls that take effect but whose
	// answers are lost.
	loseAnswers  int
	latency      time.Duration
	blockedLinks map[[2]string]bool // pairs of from and to; "store" is a node
	tickEvery    time.Duration
	disabled     disabledGuards
	servers      int  // number of backend servers in a document; at least one per host
	skipOracle   bool // the oracle does not check, to save time in large fleets

	oracle oracle

	reads, writes, rowsRead, exchangeBytes, exchanges, fullEntries int
}

type simHost struct {
	name, zone    string
	f             *Fleet
	generation    int
	startedAt     time.Duration
	clockErrorPPM int64
	paused        bool
	deferred      []func()
	down          bool
	incarnation   uint64
	leaving       bool
}

func (h *simHost) clock(now time.Duration) time.Duration {
	d := now - h.startedAt
	return d + d*time.Duration(h.clockErrorPPM)/1_000_000
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func newSim(seed uint64, zones, hosts int, g disabledGuards) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), rows: map[string]store.Row{}, objects: map[string][]byte{},
		documents: map[string]*config.Document{}, blockedLinks: map[[2]string]bool{}, latency: 4 * time.Millisecond,
		tickEvery: 50 * time.Millisecond, disabled: g,
	}
	s.oracle.init()
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%03d", i), zone: fmt.Sprintf("z%d", i%zones)}
		s.hosts = append(s.hosts, h)
		s.startProcess(h)
	}
	return s
}

// startProcess starts a new process on the host.
func (s *sim) startProcess(h *simHost) {
	h.generation++
	h.incarnation += 10
	// Each rate is within 0.95 % of 1, so that two rates differ by less than 2 %.
	h.startedAt, h.clockErrorPPM = s.now, s.rng.Int64N(19_000)-9_500
	h.down, h.paused, h.deferred, h.leaving = false, false, nil, false
	h.f = New(Settings{
		Self:   Identity{h.name, h.zone, "addr-" + h.name, h.incarnation},
		Writer: fmt.Sprintf("%s#%d", h.name, h.generation), Seed: s.rng.Uint64(),
	})
	h.f.disabled = s.disabled
	s.oracle.processStarted(h)
	gen := h.generation
	s.schedule(0, func() {
		var list []store.ListedHost
		for _, p := range s.hosts {
			list = append(list, store.ListedHost{Name: p.name, Address: "addr-" + p.name, Zone: p.zone})
		}
		s.deliver(h, gen, func() { s.step(h, HostsListed{list}) })
	})
	s.scheduleTick(h, gen)
}

func (s *sim) scheduleTick(h *simHost, gen int) {
	s.schedule(time.Duration(s.rng.Int64N(int64(s.tickEvery)))+s.tickEvery/2, func() {
		if h.generation != gen || h.down {
			return
		}
		if !h.paused {
			s.step(h, Tick{})
		}
		s.scheduleTick(h, gen)
	})
}

// deliver calls do unless the host's process has been replaced. A paused host
// gets the call after the pause.
func (s *sim) deliver(h *simHost, gen int, do func()) {
	switch {
	case h.generation != gen || h.down:
	case h.paused:
		h.deferred = append(h.deferred, func() { s.deliver(h, gen, do) })
	default:
		do()
	}
}

func (s *sim) step(h *simHost, in Input) { s.runActions(h, h.f.Step(h.clock(s.now), in)) }

func (s *sim) runActions(h *simHost, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case StoreCall:
			s.callStore(h, a)
		case Exchange:
			s.exchange(h, a)
		case FetchFromPeer:
			s.fetch(h, a)
		case Probe:
			s.probe(h, a)
		case Handover:
			if p := s.hostByAddress(a.Address); p != nil && s.connected(h.name, p.name) {
				gen := p.generation
				s.schedule(s.delay(), func() { s.deliver(p, gen, func() { s.step(p, HandoverReceived{}) }) })
			}
		case PublishEnded:
			s.oracle.checkPublished(s, h, a)
		case Superseded:
			h.down = true
		}
	}
	if !s.skipOracle {
		s.oracle.check(s, h)
	}
}

func (s *sim) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(s.latency))) + time.Millisecond/2
}

func (s *sim) connected(from, to string) bool { return !s.blockedLinks[[2]string{from, to}] }

func (s *sim) hostByAddress(a string) *simHost { return s.hostByName(strings.TrimPrefix(a, "addr-")) }

func (s *sim) hostByName(name string) *simHost {
	i, ok := slices.BinarySearchFunc(s.hosts, name, func(h *simHost, n string) int { return strings.Compare(h.name, n) })
	if !ok {
		return nil
	}
	return s.hosts[i]
}

const simTimeout = 500 * time.Millisecond

func (s *sim) callStore(h *simHost, c StoreCall) {
	gen := h.generation
	answer := func(d time.Duration, in StoreDone) {
		in.Call = c.Call
		s.schedule(d, func() { s.deliver(h, gen, func() { s.step(h, in) }) })
	}
	if s.storeDown || !s.connected(h.name, "store") {
		answer(simTimeout, StoreDone{})
		return
	}
	s.schedule(s.delay(), func() {
		if s.rng.IntN(100) < s.loseAnswers || !s.connected("store", h.name) {
			answer(simTimeout, StoreDone{})
			if s.rng.IntN(4) == 0 { // the write takes effect after the time-out
				s.schedule(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() { s.applyStoreCall(c) })
			} else {
				s.applyStoreCall(c)
			}
			return
		}
		answer(s.delay(), s.applyStoreCall(c))
	})
}

func (s *sim) applyStoreCall(c StoreCall) StoreDone {
	row := s.rows[c.Key]
	row.Key = c.Key
	switch c.Op {
	case OpGet:
		s.reads++
		return StoreDone{Outcome: OutcomeOK, Rows: []store.Row{row}}
	case OpScan:
		s.reads++
		var out []store.Row
		for k, r := range s.rows {
			if strings.HasPrefix(k, c.Key) && r.Revision > c.After {
				out = append(out, r)
			}
		}
		slices.SortFunc(out, func(a, b store.Row) int { return int(a.Revision) - int(b.Revision) })
		s.rowsRead += len(out)
		return StoreDone{Outcome: OutcomeOK, Rows: out}
	case OpCompareAndSwap:
		s.writes++
		if row.Revision != c.Expect {
			return StoreDone{Outcome: OutcomeConflict}
		}
		s.revision++
		s.rows[c.Key] = store.Row{Key: c.Key, Value: c.Value, Revision: s.revision}
		if c.Key == pointerKey {
			s.oracle.pointers = append(s.oracle.pointers, decodeRow[pointerRow](s.rows[c.Key]))
		}
		return StoreDone{Outcome: OutcomeOK, Revision: s.revision}
	case OpPutObject:
		s.writes++
		s.objects[c.Key] = c.Value
		return StoreDone{Outcome: OutcomeOK}
	default:
		s.reads++
		data, ok := s.objects[c.Key]
		if !ok {
			return StoreDone{Outcome: OutcomeConflict}
		}
		return StoreDone{Outcome: OutcomeOK, Data: data, Document: s.documents[string(data)]}
	}
}

// request delivers a request to another host and its answer back.
func (s *sim) request(h *simHost, address string, serve func(p *simHost) func(), fail func(refused bool)) {
	gen, p := h.generation, s.hostByAddress(address)
	answer := func(d time.Duration, do func()) { s.schedule(d, func() { s.deliver(h, gen, do) }) }
	if !s.connected(h.name, p.name) {
		answer(simTimeout, func() { fail(false) })
		return
	}
	answered := false
	s.schedule(s.delay(), func() {
		if p.down {
			if s.connected(p.name, h.name) {
				answer(s.delay(), func() { fail(true) })
			} else {
				answer(simTimeout, func() { fail(false) })
			}
			return
		}
		s.deliver(p, p.generation, func() {
			done := serve(p)
			if s.connected(p.name, h.name) {
				answer(s.delay(), func() {
					if !answered {
						answered = true
						done()
					}
				})
			}
		})
		answer(2*simTimeout, func() {
			if !answered {
				answered = true
				fail(false)
			}
		})
	})
}

func (s *sim) exchange(h *simHost, a Exchange) {
	s.exchanges++
	n := proto.Size(a.Vector)
	s.exchangeBytes += n
	req := proto.Clone(a.Vector).(*peerpb.Vector)
	s.request(h, a.Address, func(p *simHost) func() {
		v, acts := p.f.HandleExchange(p.clock(s.now), req)
		s.runActions(p, acts)
		s.exchangeBytes += proto.Size(v)
		s.fullEntries += len(v.GetHosts())
		return func() { s.step(h, ExchangeDone{Call: a.Call, Vector: v}) }
	}, func(refused bool) { s.step(h, ExchangeDone{Call: a.Call, Refused: refused}) })
}

func (s *sim) probe(h *simHost, a Probe) {
	s.request(h, a.Address, func(*simHost) func() {
		return func() { s.step(h, ProbeDone{Call: a.Call}) }
	}, func(refused bool) { s.step(h, ProbeDone{Call: a.Call, Refused: refused}) })
}

func (s *sim) fetch(h *simHost, a FetchFromPeer) {
	s.request(h, a.Address, func(p *simHost) func() {
		d, data := p.f.Document()
		if d == nil {
			return func() { s.step(h, DocumentDone{Call: a.Call}) }
		}
		return func() { s.step(h, DocumentDone{Call: a.Call, Version: d.Version, Document: d, Data: data}) }
	}, func(bool) { s.step(h, DocumentDone{Call: a.Call}) })
}

// advance runs the simulation for a duration, or until the oracle reports a
// violation.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		if s.oracle.fault != "" {
			return
		}
	}
	s.now = end
}

func (s *sim) pause(h *simHost) { h.paused = !h.down }

// resume ends a pause. The oracle checks the host before any deferred input reaches
// it: a lease that lapsed during the pause must not be used, although no input has
// marked it as lapsed yet.
func (s *sim) resume(h *simHost) {
	if !h.paused {
		return
	}
	h.paused = false
	s.oracle.check(s, h)
	todo := h.deferred
	h.deferred = nil
	for _, do := range todo {
		do()
	}
}

func (s *sim) kill(h *simHost) {
	h.generation++
	h.down, h.paused, h.deferred = true, false, nil
}

// partitionZone blocks or unblocks the links of a zone to the other zones and
// to the store.
func (s *sim) partitionZone(zone string, blocked bool) {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if (a.zone == zone) != (b.zone == zone) {
				s.blockedLinks[[2]string{a.name, b.name}] = blocked
			}
		}
		if a.zone == zone {
			s.blockedLinks[[2]string{a.name, "store"}] = blocked
			s.blockedLinks[[2]string{"store", a.name}] = blocked
		}
	}
}

// document returns a document of the fleet with at least one backend server per
// host.
func (s *sim) document(tag string, out ...string) *config.Document {
	d := &config.Document{Rules: config.Rules{ZonesOut: out, KeyGrace: config.DefaultKeyGrace}}
	zones := map[string]bool{}
	for _, h := range s.hosts {
		if !zones[h.zone] {
			zones[h.zone] = true
			d.Inventory.Zones = append(d.Inventory.Zones, config.Zone{Name: h.zone})
		}
		d.Inventory.Hosts = append(d.Inventory.Hosts, config.Host{Name: h.name, Zone: h.zone})
	}
	for i := range max(s.servers, len(s.hosts)) {
		h := s.hosts[i%len(s.hosts)]
		d.Inventory.Groups = append(d.Inventory.Groups, config.Group{
			Name: fmt.Sprintf("g%d", i), Servers: []config.Server{{Name: fmt.Sprintf("db%03d", i), Zone: h.zone}},
		})
	}
	d.Inventory.Customers = []config.Customer{{Name: tag}}
	return d
}

func (s *sim) publish(h *simHost, id uint64, base config.Version, d *config.Document) {
	data := []byte(fmt.Sprintf("%s/%d/%v", d.Inventory.Customers[0].Name, id, d.Rules.ZonesOut))
	s.documents[string(data)] = d
	s.oracle.publishRequested(s, h, id, base)
	s.step(h, Publish{ID: id, Base: base, Document: d, Data: data})
	gen := h.generation
	s.schedule(10*time.Second, func() { s.deliver(h, gen, func() { s.step(h, AbandonPublish{id}) }) })
}
