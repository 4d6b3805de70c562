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
	// tickInterval is the mean interval between ticks of an aggregate, as in a
	// member.
	tickInterval = 50 * time.Millisecond
	// maxOneWayDelay is the upper bound of the random one-way delay between two
	// hosts, and between a host and the store.
	maxOneWayDelay = 2 * time.Millisecond
)

// model runs one fleet aggregate per host in simulated time, against an in-memory
// store. Neither the store nor the network has faults.
type model struct {
	rng            *rand.Rand
	now            time.Duration
	seq            int
	events         events
	hosts          []*modelHost
	hostsByAddress map[string]*modelHost

	rows map[string]store.Row
	// newestByPrefix is the newest revision under each key prefix.
	newestByPrefix map[string]store.Revision
	revision       store.Revision
	objects        map[string][]byte
	doc            *config.Document

	storeReads, storeWrites, exchangeCount int
	// stepTime is the real time spent in the aggregates.
	stepTime        time.Duration
	publishAccepted bool
	lastRequest     *peerpb.Vector
	lastResponse    *peerpb.Vector
}

type modelHost struct {
	name, zone string
	fleet      *fleet.Fleet
}

type event struct {
	time time.Duration
	seq  int
	run  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].seq < e[j].seq
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
		rng: rand.New(rand.NewPCG(seed, 1)), hostsByAddress: map[string]*modelHost{}, rows: map[string]store.Row{},
		newestByPrefix: map[string]store.Revision{}, objects: map[string][]byte{}, doc: doc,
	}
	var listedHosts []store.ListedHost
	for i, h := range doc.Inventory.Hosts {
		address := fmt.Sprintf("10.0.%d.%d:7432", i/250, i%250)
		host := &modelHost{name: h.Name, zone: h.Zone, fleet: fleet.New(fleet.Settings{
			Self:   fleet.Identity{Name: h.Name, Zone: h.Zone, Address: address, Incarnation: uint64(i + 1)},
			Writer: h.Name, Seed: m.rng.Uint64(),
		})}
		m.hosts = append(m.hosts, host)
		m.hostsByAddress[address] = host
		listedHosts = append(listedHosts, store.ListedHost{Name: h.Name, Address: address, Zone: h.Zone})
	}
	for _, h := range m.hosts {
		m.schedule(0, func() { m.step(h, fleet.HostsListed{Hosts: listedHosts}) })
		m.scheduleTicks(h)
	}
	return m
}

func (m *model) schedule(delay time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + delay, m.seq, run})
}

func (m *model) advance(d time.Duration) {
	end := m.now + d
	for len(m.events) > 0 && m.events[0].time <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.time
		e.run()
	}
	m.now = end
}

func (m *model) randomDelay() time.Duration {
	return time.Duration(m.rng.Int64N(int64(maxOneWayDelay)))
}

func (m *model) scheduleTicks(h *modelHost) {
	m.schedule(time.Duration(m.rng.Int64N(int64(tickInterval)))+tickInterval/2, func() {
		m.step(h, fleet.Tick{})
		m.scheduleTicks(h)
	})
}

func (m *model) step(h *modelHost, in fleet.Input) {
	begin := time.Now()
	actions := h.fleet.Step(m.now, in)
	m.stepTime += time.Since(begin)
	m.perform(h, actions)
}

func (m *model) perform(h *modelHost, actions []fleet.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.StoreCall:
			m.schedule(m.randomDelay(), func() {
				done := m.applyStoreCall(a)
				done.Call = a.Call
				m.schedule(m.randomDelay(), func() { m.step(h, done) })
			})
		case fleet.Exchange:
			m.exchangeCount++
			m.schedule(m.randomDelay(), func() { m.exchange(h, a) })
		case fleet.FetchFromPeer:
			p := m.hostsByAddress[a.Address]
			m.schedule(m.randomDelay(), func() {
				done := fleet.DocumentDone{Call: a.Call}
				if d, data := p.fleet.Document(); d != nil {
					done.Version, done.Document, done.Data = d.Version, d, data
				}
				m.schedule(m.randomDelay(), func() { m.step(h, done) })
			})
		case fleet.Probe:
			m.schedule(m.randomDelay(), func() { m.step(h, fleet.ProbeDone{Call: a.Call}) })
		case fleet.Handover:
			m.schedule(m.randomDelay(), func() { m.step(m.hostsByAddress[a.Address], fleet.HandoverReceived{}) })
		case fleet.PublishEnded:
			m.publishAccepted = a.Result.Status == fleet.PublishAccepted
		}
	}
}

func (m *model) exchange(h *modelHost, a fleet.Exchange) {
	p := m.hostsByAddress[a.Address]
	begin := time.Now()
	v, actions := p.fleet.HandleExchange(m.now, a.Vector)
	m.stepTime += time.Since(begin)
	m.perform(p, actions)
	m.lastRequest, m.lastResponse = a.Vector, v
	m.schedule(m.randomDelay(), func() { m.step(h, fleet.ExchangeDone{Call: a.Call, Vector: v}) })
}

func keyPrefix(key string) string { return key[:strings.IndexByte(key, '/')+1] }

func (m *model) applyStoreCall(c fleet.StoreCall) fleet.StoreDone {
	row := m.rows[c.Key]
	row.Key = c.Key
	switch c.Op {
	case fleet.OpGet:
		m.storeReads++
		return fleet.StoreDone{Outcome: fleet.OutcomeOK, Rows: []store.Row{row}}
	case fleet.OpScan:
		m.storeReads++
		return fleet.StoreDone{Outcome: fleet.OutcomeOK, Rows: m.scan(c)}
	case fleet.OpCompareAndSwap:
		m.storeWrites++
		if row.Revision != c.Expect {
			return fleet.StoreDone{Outcome: fleet.OutcomeConflict}
		}
		m.revision++
		m.rows[c.Key] = store.Row{Key: c.Key, Value: c.Value, Revision: m.revision}
		m.newestByPrefix[keyPrefix(c.Key)] = m.revision
		return fleet.StoreDone{Outcome: fleet.OutcomeOK, Revision: m.revision}
	case fleet.OpPutObject:
		m.storeWrites++
		m.objects[c.Key] = c.Value
		return fleet.StoreDone{Outcome: fleet.OutcomeOK}
	default:
		m.storeReads++
		return fleet.StoreDone{Outcome: fleet.OutcomeOK, Data: m.objects[c.Key], Document: m.doc}
	}
}

func (m *model) scan(c fleet.StoreCall) []store.Row {
	if m.newestByPrefix[keyPrefix(c.Key)] <= c.After {
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

// publish publishes the document through the first host and advances the model
// until the publication is accepted and the last host has the document. It returns
// an error after publishTimeout.
func (m *model) publish(data []byte) error {
	m.step(m.hosts[0], fleet.Publish{ID: 1, Document: m.doc, Data: data})
	last := m.hosts[len(m.hosts)-1]
	for end := m.now + publishTimeout; m.now < end; {
		m.advance(100 * time.Millisecond)
		if d, _ := last.fleet.Document(); d != nil && m.publishAccepted {
			return nil
		}
	}
	return errors.Errorf("model of %d hosts did not publish its configuration within the time limit", len(m.hosts))
}

// publishTimeout limits the simulated time of the first publication.
const publishTimeout = 20 * time.Second
