package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

const (
	// tickInterval is the interval at which a member ticks its aggregate.
	tickInterval = 50 * time.Millisecond
	// modelLatency bounds the drawn one-way delay between two nodes.
	modelLatency = 2 * time.Millisecond
)

// model runs one fleet aggregate per host against a modelled table service
// without faults, in simulated time.
type model struct {
	rng    *rand.Rand
	now    time.Duration
	seq    int
	events events
	hosts  []*modelHost
	byAddr map[string]*modelHost

	rows map[string]store.Row
	// newest is the newest revision by key prefix.
	newest  map[string]store.Revision
	rev     store.Revision
	objects map[string][]byte
	doc     *config.Document

	reads, writes, exchanges int
	// cpu is the time spent in the aggregates.
	cpu       time.Duration
	published bool
	request   *peerpb.Vector
	response  *peerpb.Vector
}

type modelHost struct {
	name, zone string
	f          *fleet.Fleet
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
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

func newModel(doc *config.Document, seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*modelHost{}, rows: map[string]store.Row{},
		newest: map[string]store.Revision{}, objects: map[string][]byte{}, doc: doc,
	}
	var list []store.ListedHost
	for i, h := range doc.Inventory.Hosts {
		address := fmt.Sprintf("10.0.%d.%d:7432", i/250, i%250)
		host := &modelHost{name: h.Name, zone: h.Zone, f: fleet.New(fleet.Settings{
			Self:   fleet.Identity{Name: h.Name, Zone: h.Zone, Address: address, Incarnation: uint64(i + 1)},
			Writer: h.Name, Seed: m.rng.Uint64(),
		})}
		m.hosts = append(m.hosts, host)
		m.byAddr[address] = host
		list = append(list, store.ListedHost{Name: h.Name, Address: address, Zone: h.Zone})
	}
	for _, h := range m.hosts {
		m.after(0, func() { m.input(h, fleet.HostsListed{Hosts: list}) })
		m.ticks(h)
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, do})
}

func (m *model) advance(d time.Duration) {
	end := m.now + d
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

func (m *model) delay() time.Duration { return time.Duration(m.rng.Int64N(int64(modelLatency))) }

func (m *model) ticks(h *modelHost) {
	m.after(time.Duration(m.rng.Int64N(int64(tickInterval)))+tickInterval/2, func() {
		m.input(h, fleet.Tick{})
		m.ticks(h)
	})
}

func (m *model) input(h *modelHost, in fleet.Input) {
	begin := time.Now()
	actions := h.f.Step(m.now, in)
	m.cpu += time.Since(begin)
	m.run(h, actions)
}

func (m *model) run(h *modelHost, actions []fleet.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.StoreCall:
			m.after(m.delay(), func() {
				done := m.store(a)
				done.Call = a.Call
				m.after(m.delay(), func() { m.input(h, done) })
			})
		case fleet.Exchange:
			m.exchanges++
			m.after(m.delay(), func() { m.exchange(h, a) })
		case fleet.FetchFromPeer:
			p := m.byAddr[a.Address]
			m.after(m.delay(), func() {
				done := fleet.DocumentDone{Call: a.Call}
				if d, data := p.f.Document(); d != nil {
					done.Version, done.Document, done.Data = d.Version, d, data
				}
				m.after(m.delay(), func() { m.input(h, done) })
			})
		case fleet.Probe:
			m.after(m.delay(), func() { m.input(h, fleet.ProbeDone{Call: a.Call}) })
		case fleet.Handover:
			m.after(m.delay(), func() { m.input(m.byAddr[a.Address], fleet.HandoverReceived{}) })
		case fleet.Published:
			m.published = a.Result.Status == fleet.PublishAccepted
		}
	}
}

func (m *model) exchange(h *modelHost, a fleet.Exchange) {
	p := m.byAddr[a.Address]
	begin := time.Now()
	v, actions := p.f.Receive(m.now, a.Vector)
	m.cpu += time.Since(begin)
	m.run(p, actions)
	m.request, m.response = a.Vector, v
	m.after(m.delay(), func() { m.input(h, fleet.ExchangeDone{Call: a.Call, Vector: v}) })
}

func prefixOf(key string) string { return key[:strings.IndexByte(key, '/')+1] }

func (m *model) store(c fleet.StoreCall) fleet.StoreDone {
	row := m.rows[c.Key]
	row.Key = c.Key
	switch c.Op {
	case fleet.OpGet:
		m.reads++
		return fleet.StoreDone{Outcome: fleet.OK, Rows: []store.Row{row}}
	case fleet.OpScan:
		m.reads++
		return fleet.StoreDone{Outcome: fleet.OK, Rows: m.scan(c)}
	case fleet.OpCompareAndSwap:
		m.writes++
		if row.Revision != c.Expect {
			return fleet.StoreDone{Outcome: fleet.Conflict}
		}
		m.rev++
		m.rows[c.Key] = store.Row{Key: c.Key, Value: c.Value, Revision: m.rev}
		m.newest[prefixOf(c.Key)] = m.rev
		return fleet.StoreDone{Outcome: fleet.OK, Revision: m.rev}
	case fleet.OpPutObject:
		m.writes++
		m.objects[c.Key] = c.Value
		return fleet.StoreDone{Outcome: fleet.OK}
	default:
		m.reads++
		return fleet.StoreDone{Outcome: fleet.OK, Data: m.objects[c.Key], Document: m.doc}
	}
}

func (m *model) scan(c fleet.StoreCall) []store.Row {
	if m.newest[prefixOf(c.Key)] <= c.After {
		return nil
	}
	var out []store.Row
	for k, r := range m.rows {
		if strings.HasPrefix(k, c.Key) && r.Revision > c.After {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return int(a.Revision) - int(b.Revision) })
	return out
}

// publish publishes the document through the first host and waits until the
// last host has it.
func (m *model) publish(data []byte) error {
	m.input(m.hosts[0], fleet.Publish{ID: 1, Document: m.doc, Data: data})
	last := m.hosts[len(m.hosts)-1]
	for end := m.now + publishLimit; m.now < end; {
		m.advance(100 * time.Millisecond)
		if d, _ := last.f.Document(); d != nil && m.published {
			return nil
		}
	}
	return errors.Errorf("the model of %d hosts has published no configuration", len(m.hosts))
}

// publishLimit bounds the simulated time of the first publication.
const publishLimit = 20 * time.Second
