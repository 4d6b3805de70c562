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

// sim runs several aggregates against a modelled table service and network. All
// of its times are real time; each host has a clock of its own rate.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    int

	hosts []*simHost
	rows  map[string]store.Row
	rev   store.Revision
	objs  map[string][]byte
	docs  map[string]*config.Document // by data

	storeDown bool
	// loseAnswers is the percentage of store answers lost after the effect.
	loseAnswers int
	latency     time.Duration
	cut         map[[2]string]bool // from, to; "store" is a node
	tickEvery   time.Duration
	guards      guards
	servers     int  // backend servers of a document; 0 means one per host
	unchecked   bool // the oracle does not look, for large fleets

	oracle oracle

	reads, writes, rowsRead, exchangeBytes, exchanges, fullEntries int
}

type simHost struct {
	name, zone string
	f          *Fleet
	gen        int
	start      time.Duration
	ratePPM    int64
	paused     bool
	backlog    []func()
	down       bool
	incs       uint64
	goodbye    bool
}

func (h *simHost) clock(now time.Duration) time.Duration {
	d := now - h.start
	return d + d*time.Duration(h.ratePPM)/1_000_000
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

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func newSim(seed uint64, zones, hosts int, g guards) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), rows: map[string]store.Row{}, objs: map[string][]byte{},
		docs: map[string]*config.Document{}, cut: map[[2]string]bool{}, latency: 4 * time.Millisecond,
		tickEvery: 50 * time.Millisecond, guards: g,
	}
	s.oracle.init()
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%03d", i), zone: fmt.Sprintf("z%d", i%zones)}
		s.hosts = append(s.hosts, h)
		s.boot(h)
	}
	return s
}

// boot starts a new process of the host.
func (s *sim) boot(h *simHost) {
	h.gen++
	h.incs += 10
	// Two clocks differ by less than 2 %.
	h.start, h.ratePPM = s.now, s.rng.Int64N(19_000)-9_500
	h.down, h.paused, h.backlog, h.goodbye = false, false, nil, false
	h.f = New(Settings{
		Self:   Identity{h.name, h.zone, "addr-" + h.name, h.incs},
		Writer: fmt.Sprintf("%s#%d", h.name, h.gen), Seed: s.rng.Uint64(),
	})
	h.f.guards = s.guards
	s.oracle.booted(h)
	gen := h.gen
	s.after(0, func() {
		var list []store.ListedHost
		for _, p := range s.hosts {
			list = append(list, store.ListedHost{Name: p.name, Address: "addr-" + p.name, Zone: p.zone})
		}
		s.deliver(h, gen, func() { s.input(h, HostsListed{list}) })
	})
	s.ticks(h, gen)
}

func (s *sim) ticks(h *simHost, gen int) {
	s.after(time.Duration(s.rng.Int64N(int64(s.tickEvery)))+s.tickEvery/2, func() {
		if h.gen != gen || h.down {
			return
		}
		if !h.paused {
			s.input(h, Tick{})
		}
		s.ticks(h, gen)
	})
}

// deliver runs do at the host unless its process has been replaced. A paused
// host gets it after the pause.
func (s *sim) deliver(h *simHost, gen int, do func()) {
	switch {
	case h.gen != gen || h.down:
	case h.paused:
		h.backlog = append(h.backlog, func() { s.deliver(h, gen, do) })
	default:
		do()
	}
}

func (s *sim) input(h *simHost, in Input) { s.run(h, h.f.Step(h.clock(s.now), in)) }

func (s *sim) run(h *simHost, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case StoreCall:
			s.store(h, a)
		case Exchange:
			s.exchange(h, a)
		case FetchFromPeer:
			s.fetch(h, a)
		case Probe:
			s.probe(h, a)
		case Handover:
			if p := s.byAddress(a.Address); p != nil && s.connected(h.name, p.name) {
				gen := p.gen
				s.after(s.delay(), func() { s.deliver(p, gen, func() { s.input(p, HandoverReceived{}) }) })
			}
		case Published:
			s.oracle.published(s, h, a)
		case Stop:
			h.down = true
		}
	}
	if !s.unchecked {
		s.oracle.observe(s, h)
	}
}

func (s *sim) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(s.latency))) + time.Millisecond/2
}

func (s *sim) connected(from, to string) bool { return !s.cut[[2]string{from, to}] }

func (s *sim) byAddress(a string) *simHost { return s.host(strings.TrimPrefix(a, "addr-")) }

func (s *sim) host(name string) *simHost {
	i, ok := slices.BinarySearchFunc(s.hosts, name, func(h *simHost, n string) int { return strings.Compare(h.name, n) })
	if !ok {
		return nil
	}
	return s.hosts[i]
}

const simTimeout = 500 * time.Millisecond

func (s *sim) store(h *simHost, c StoreCall) {
	gen := h.gen
	answer := func(d time.Duration, in StoreDone) {
		in.Call = c.Call
		s.after(d, func() { s.deliver(h, gen, func() { s.input(h, in) }) })
	}
	if s.storeDown || !s.connected(h.name, "store") {
		answer(simTimeout, StoreDone{})
		return
	}
	s.after(s.delay(), func() {
		if s.rng.IntN(100) < s.loseAnswers || !s.connected("store", h.name) {
			answer(simTimeout, StoreDone{})
			if s.rng.IntN(4) == 0 { // the effect comes after the time-out
				s.after(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() { s.execute(c) })
			} else {
				s.execute(c)
			}
			return
		}
		answer(s.delay(), s.execute(c))
	})
}

func (s *sim) execute(c StoreCall) StoreDone {
	row := s.rows[c.Key]
	row.Key = c.Key
	switch c.Op {
	case OpGet:
		s.reads++
		return StoreDone{Outcome: OK, Rows: []store.Row{row}}
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
		return StoreDone{Outcome: OK, Rows: out}
	case OpCompareAndSwap:
		s.writes++
		if row.Revision != c.Expect {
			return StoreDone{Outcome: Conflict}
		}
		s.rev++
		s.rows[c.Key] = store.Row{Key: c.Key, Value: c.Value, Revision: s.rev}
		if c.Key == pointerKey {
			s.oracle.pointers = append(s.oracle.pointers, decodeRow[pointerRow](s.rows[c.Key]))
		}
		return StoreDone{Outcome: OK, Revision: s.rev}
	case OpPutObject:
		s.writes++
		s.objs[c.Key] = c.Value
		return StoreDone{Outcome: OK}
	default:
		s.reads++
		data, ok := s.objs[c.Key]
		if !ok {
			return StoreDone{Outcome: Conflict}
		}
		return StoreDone{Outcome: OK, Data: data, Document: s.docs[string(data)]}
	}
}

// request carries a request from one host to another and its answer back.
func (s *sim) request(h *simHost, address string, serve func(p *simHost) func(), fail func(refused bool)) {
	gen, p := h.gen, s.byAddress(address)
	back := func(d time.Duration, do func()) { s.after(d, func() { s.deliver(h, gen, do) }) }
	if !s.connected(h.name, p.name) {
		back(simTimeout, func() { fail(false) })
		return
	}
	answered := false
	s.after(s.delay(), func() {
		if p.down {
			if s.connected(p.name, h.name) {
				back(s.delay(), func() { fail(true) })
			} else {
				back(simTimeout, func() { fail(false) })
			}
			return
		}
		s.deliver(p, p.gen, func() {
			done := serve(p)
			if s.connected(p.name, h.name) {
				back(s.delay(), func() {
					if !answered {
						answered = true
						done()
					}
				})
			}
		})
		back(2*simTimeout, func() {
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
		v, acts := p.f.Receive(p.clock(s.now), req)
		s.run(p, acts)
		s.exchangeBytes += proto.Size(v)
		s.fullEntries += len(v.GetHosts())
		return func() { s.input(h, ExchangeDone{Call: a.Call, Vector: v}) }
	}, func(refused bool) { s.input(h, ExchangeDone{Call: a.Call, Refused: refused}) })
}

func (s *sim) probe(h *simHost, a Probe) {
	s.request(h, a.Address, func(*simHost) func() {
		return func() { s.input(h, ProbeDone{Call: a.Call}) }
	}, func(refused bool) { s.input(h, ProbeDone{Call: a.Call, Refused: refused}) })
}

func (s *sim) fetch(h *simHost, a FetchFromPeer) {
	s.request(h, a.Address, func(p *simHost) func() {
		d, data := p.f.Document()
		if d == nil {
			return func() { s.input(h, DocumentDone{Call: a.Call}) }
		}
		return func() { s.input(h, DocumentDone{Call: a.Call, Version: d.Version, Document: d, Data: data}) }
	}, func(bool) { s.input(h, DocumentDone{Call: a.Call}) })
}

// advance runs the model for a while and returns the oracle's first finding.
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

// resume lets the host act before it has seen anything new, because that is
// when a lapsed lease goes unnoticed.
func (s *sim) resume(h *simHost) {
	if !h.paused {
		return
	}
	h.paused = false
	s.oracle.observe(s, h)
	todo := h.backlog
	h.backlog = nil
	for _, do := range todo {
		do()
	}
}

func (s *sim) kill(h *simHost) {
	h.gen++
	h.down, h.paused, h.backlog = true, false, nil
}

// cutZone cuts a zone off from the other zones and from the store.
func (s *sim) cutZone(zone string, cut bool) {
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if (a.zone == zone) != (b.zone == zone) {
				s.cut[[2]string{a.name, b.name}] = cut
			}
		}
		if a.zone == zone {
			s.cut[[2]string{a.name, "store"}] = cut
			s.cut[[2]string{"store", a.name}] = cut
		}
	}
}

// document returns a document of the fleet with one backend server per host.
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
	s.docs[string(data)] = d
	s.oracle.asked(s, h, id, base)
	s.input(h, Publish{ID: id, Base: base, Document: d, Data: data})
	gen := h.gen
	s.after(10*time.Second, func() { s.deliver(h, gen, func() { s.input(h, AbandonPublish{id}) }) })
}
