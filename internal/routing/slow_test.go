package routing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/supervise"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// slowModel is a group of a primary with writes and two replicas, one of which is eight
// times slower for 6.5 s. Reads are given up and retried as the frontend does it.
type slowModel struct {
	fleetModel
	servers map[string]*slowServer
	retries []*RetryBudget
	ejects  bool

	readsFailed, writesLate, writesFailed, ejections int
}

type slowServer struct {
	modelServer
	mean     time.Duration
	detector supervise.Detector
}

const (
	slowFrom, slowUntil = 3 * time.Second, 9500 * time.Millisecond
	slowFactor          = 8
	slowHosts           = 33
	// slowWriteUse is the part of the primary's slots that writes use.
	slowWriteUse = 0.6
)

func (s *slowServer) wait() time.Duration {
	if s.running < modelSlots {
		return 0
	}
	return time.Duration(len(s.queue)+1) * s.mean / modelSlots
}

func (m *slowModel) load(s *slowServer) serverload.Load {
	l := serverload.Load{
		Server: s.name, Slots: modelSlots, Running: s.running, Waiting: len(s.queue), Wait: []time.Duration{s.wait()},
		Service: s.mean, MeasuredAt: m.now,
	}
	switch s.detector.State(m.now) {
	case supervise.Ejected:
		l.Ejected = true
	case supervise.Probing:
		l.Pace = supervise.MaxProbes
	}
	return l
}

func (s *slowServer) startNext() {
	for s.running < modelSlots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// run queues a statement that is given up at limit; done is called once.
func (m *slowModel) run(s *slowServer, probe supervise.Probe, service, limit time.Duration, done func(ok bool)) {
	started := false
	s.queue = append(s.queue, func() {
		if m.now >= limit {
			return
		}
		started = true
		s.running++
		sent := m.now
		if s.name == "rb" && sent > slowFrom && sent < slowUntil {
			service *= slowFactor
		}
		ok := sent+service <= limit
		m.after(min(service, limit-sent), func() {
			s.running--
			s.mean += (m.now - sent - s.mean) / 8
			m.recordOutcome(s, probe, sent, ok)
			s.startNext()
			done(ok)
		})
	})
	m.after(limit-m.now, func() {
		if !started {
			done(false)
		}
	})
	s.startNext()
}

func (m *slowModel) recordOutcome(s *slowServer, probe supervise.Probe, sent time.Duration, ok bool) {
	if !m.ejects {
		return
	}
	customer := []string{"a", "b"}[m.rng.IntN(2)]
	group, outcome := supervise.Group{Servers: len(m.servers)}, supervise.Succeeded
	var c supervise.Change
	var changed bool
	if ok {
		s.detector.RecordSuccess(m.now, customer)
	} else {
		outcome = supervise.Failed
		if s.detector.HasAnsweredSince(sent) {
			outcome = supervise.Undecided
		}
		c, changed = s.detector.RecordOverdue(m.now, sent, customer, group)
	}
	if !changed {
		c, changed = s.detector.EndProbe(m.now, probe, outcome, group)
	}
	if changed && c.State == supervise.Ejected {
		m.ejections++
	}
}

// read runs one read from its arrival on.
func (m *slowModel) read(host int, arrived, service time.Duration, tried map[string]bool) {
	h := m.hosts[host]
	m.view.OwnZone = h.zone
	demand := ReadDemand{Budget: modelTarget / 2}
	candidates := h.balancer.ReadCandidates(m.now, m.view, false)
	if m.byLoad {
		candidates, _ = h.order.ReadCandidates(m.now, m.view, demand)
	}
	var untried []Candidate
	for _, c := range candidates {
		if !tried[c.Server] {
			untried = append(untried, c)
		}
	}
	deadline := arrived + 2*modelTarget
	if len(untried) == 0 || m.now >= deadline {
		m.readsFailed++
		return
	}
	c, sent, wait := untried[0], m.now, modelTarget*3/2
	if m.byLoad {
		wait = h.order.WaitLimit(m.now, untried[1:], demand, modelTarget/5, wait)
	}
	limit := deadline
	if !c.Primary {
		limit = min(limit, sent+modelTarget*4/5)
	}
	s := m.servers[c.Server]
	finish := func(ok, refused bool) {
		load := m.load(s)
		m.after(modelHop, func() {
			h.order.RecordDone(sent, c.Server)
			h.loads.Record(load)
			if ok {
				h.balancer.RecordSuccess(m.now, c, m.now-sent)
				m.served++
				if m.now-arrived > modelTarget {
					m.late++
				}
				return
			}
			if !refused {
				h.balancer.RecordFailure(m.now, c, verdict.AnswerOverdue)
			}
			if c.Primary || !(m.byLoad && refused) && !m.retries[host].TakeRetry(m.now) {
				m.readsFailed++
				return
			}
			tried[c.Server] = true
			m.read(host, arrived, service, tried)
		})
	}
	h.order.RecordSent(sent, c.Server)
	m.after(modelHop, func() {
		var probe supervise.Probe
		admitted := true
		if m.ejects && !c.Primary {
			probe, admitted = s.detector.AdmitRead(m.now)
		}
		refused := !admitted
		if !refused && s.wait() > min(wait, limit-sent) {
			s.detector.EndProbe(m.now, probe, supervise.Undecided, supervise.Group{})
			refused = true
		}
		if refused {
			finish(false, true)
			return
		}
		m.run(s, probe, service, limit, func(ok bool) { finish(ok, false) })
	})
}

func (m *slowModel) write(arrived, service time.Duration) {
	s, limit := m.servers["pa"], modelTarget*3/2
	if s.wait() > limit {
		m.writesFailed++
		return
	}
	m.run(s, 0, service, arrived+2*modelTarget, func(ok bool) {
		switch {
		case !ok:
			m.writesFailed++
		case m.now-arrived > modelTarget:
			m.writesLate++
		}
	})
}

// runSlowReplica plays reads that would use the given part of both replicas in health.
func runSlowReplica(seed uint64, use float64, byLoad, ejects bool) *slowModel {
	m := &slowModel{servers: map[string]*slowServer{}, ejects: ejects}
	m.rng, m.byLoad, m.view = rand.New(rand.NewPCG(7, seed)), byLoad, loadView()
	for _, name := range []string{"pa", "rb", "rc"} {
		m.servers[name] = &slowServer{modelServer: modelServer{name: name}, mean: modelService}
	}
	m.view.Group.Servers = []config.Server{{Name: "pa", Zone: "a"}, {Name: "rb", Zone: "b"}, {Name: "rc", Zone: "c"}}
	for i := range slowHosts {
		loads := serverload.NewTable()
		h := &modelHost{zone: zones[i%3], balancer: NewBalancer(rand.New(rand.NewPCG(seed, uint64(i)))), loads: loads}
		h.order = NewLoadOrder(h.balancer, loads)
		m.hosts, m.retries = append(m.hosts, h), append(m.retries, NewRetryBudget())
		for _, c := range m.view.Group.Servers {
			var beat func()
			beat = func() {
				load := m.load(m.servers[c.Name])
				m.after(modelHop, func() { loads.Record(load) })
				m.after(300*time.Millisecond+time.Duration(m.rng.Int64N(int64(700*time.Millisecond))), beat)
			}
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), beat)
		}
	}
	arrivals := rand.New(rand.NewPCG(9, seed))
	play := func(rate float64, run func(at, service time.Duration)) {
		for t := 0.0; t < modelLength.Seconds(); {
			t += arrivals.ExpFloat64() / rate
			service := time.Duration(0.85 * float64(modelService) * (0.4 + 0.6*arrivals.ExpFloat64()))
			if arrivals.Float64() < 0.03 {
				service *= 7
			}
			at := time.Duration(t * float64(time.Second))
			m.after(at, func() { run(at, service) })
		}
	}
	perServer := modelSlots / modelService.Seconds()
	play(slowWriteUse*perServer, m.write)
	play(2*use*perServer, func(at, service time.Duration) {
		host := m.rng.IntN(slowHosts)
		m.retries[host].AddFirstAttempt()
		m.read(host, at, service, map[string]bool{})
	})
	for m.events.Len() > 0 && m.now < modelLength+2*modelTarget {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m
}

// Answers one replica of two that is eight times slower while reads need what it still
// serves. Guards against its ejection for overdue answers, by which more reads and writes
// would fail than without supervision.
func TestSlowReplicaFailsNoMoreThanWithoutSupervision(t *testing.T) {
	for _, use := range []float64{0.7, 0.85, 1} {
		var failed, late [3]int
		ejections := 0
		for seed := range uint64(6) {
			for i, m := range []*slowModel{
				runSlowReplica(seed, use, false, false), runSlowReplica(seed, use, true, false), runSlowReplica(seed, use, true, true),
			} {
				failed[i] += m.readsFailed + m.writesFailed
				late[i] += m.late + m.writesLate
				ejections += m.ejections
			}
		}
		t.Logf("use %.2f: without, with order, with order and ejection: failed %v, late %v, ejections %d", use, failed, late, ejections)
		assert.Assert(t, failed[2] <= failed[0])
	}
}
