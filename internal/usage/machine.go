package usage

import (
	"maps"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Role is the name of the role that the reporter holds.
const Role = "usage"

const (
	// askInterval is the time between two questions to a host, and maxAsksPerSecond the
	// number of questions that a reporter sends; in a large fleet the interval is longer.
	askInterval      = 2 * time.Second
	maxAsksPerSecond = 64
	// urgentAskInterval is the time between two questions to a host whose counts of a
	// window that has ended are missing.
	urgentAskInterval = 300 * time.Millisecond
	// settleTime is how long after its end a window is closed at the earliest. The
	// answers of requests that did not run arrive within it.
	settleTime = 300 * time.Millisecond
	// minCollectTime is how long a new reporter asks all hosts before it closes a
	// window without the counts of some.
	minCollectTime = 1500 * time.Millisecond
	// silentShare, aliveShare and cutOffShare are the shares of the time until a report is
	// due after which a window is closed although counts are missing: those of hosts that
	// send no heartbeats, those of hosts that do, and those of more than
	// 1/cutOffDivisor of all hosts, in which case this host is probably cut off itself.
	silentShare   = 0.3
	aliveShare    = 0.6
	cutOffShare   = 0.85
	cutOffDivisor = 3
	// maxTickPause is the time between two ticks from which on this process counts as
	// having been suspended.
	maxTickPause = 3 * time.Second
	// minRowDelay and maxRowDelay bound the pause after a failed call to the store.
	minRowDelay = 200 * time.Millisecond
	maxRowDelay = 2 * time.Second
	// minSendDelay and maxSendDelay bound the pause before a report is sent again.
	minSendDelay = 300 * time.Millisecond
	maxSendDelay = 2 * time.Second
	// maxClockError is the error of the readings of a host's clock from which on the
	// host is not asked for counts. maxClockDrift is how much the clocks of two hosts may
	// drift apart.
	maxClockError = 250 * time.Millisecond
	maxClockDrift = 1e-3
)

// Settings are the settings of a Machine.
type Settings struct {
	// Window is the length of a window. A report is due Late after the window's end.
	Window, Late time.Duration
	// Lease is the time within which two machines do not report in turn.
	Lease time.Duration
	// Machine is the address of this host.
	Machine string
}

// Retention is how long counts are kept at the home hosts. Windows that began earlier
// are not reported.
func (s Settings) Retention() time.Duration { return 2 * (s.Window + s.Late) }

// Host is a host that counts requests.
type Host struct {
	Name        string
	Address     string
	Incarnation uint64
	// Alive is set if the host has sent a recent heartbeat.
	Alive bool
}

// Action is what the Shell has to do.
type Action interface{ isAction() }

type phase uint8

const (
	// idle: this host does not hold the role.
	idle phase = iota
	// reading: the row has to be read.
	reading
	// adopting: this host writes its epoch into the row.
	adopting
	// reporting: this host has written its epoch into the row.
	reporting
	// stopped: a later reporter exists, and this epoch is not used any more.
	stopped
)

// Machine decides what the reporter does. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	time     timeOfDay
	out      []Action

	phase phase
	epoch uint64
	// generation counts the changes of the epoch.
	generation uint64
	// endedEpoch is the highest epoch that is not used any more because a later reporter
	// exists.
	endedEpoch uint64
	// since is the start of the phase, or the end of a suspension in it.
	since time.Duration
	// tickedAt is the time of the last Tick.
	tickedAt time.Duration
	// record and revision are the row as last read or written by this host.
	record   Record
	revision store.Revision
	// lastCall is the newest call. rowCall and sendCall are those under way, 0 if there
	// is none.
	lastCall, rowCall, sendCall CallID
	rowRetryAt                  time.Duration
	// rowDelay is the pause after the next failed call.
	rowDelay time.Duration
	// written is the record of the write under way, or of the last one. writtenDecisions
	// are reported once it is carried out.
	written          Record
	writtenDecisions []Decision
	// continuedEpoch is the epoch in which this host was the reporter before and after a
	// change of the store's era, 0 if there is none.
	continuedEpoch uint64
	// storeEra is set by SetEra.
	storeEra store.Era
	// storeOffset is the store's clock minus the clock of this host.
	storeOffset time.Duration

	hosts map[string]*hostState
	// answers holds the counts by window and process.
	answers map[int64]map[process]answer

	accepted  map[int64]bool
	sendAt    time.Duration
	sendDelay time.Duration
	// unanswered is the window whose report was the last one without an answer.
	unanswered int64
}

type process struct {
	host        string
	incarnation uint64
}

type answer struct {
	requests map[string]int64
	complete bool
}

// NewMachine returns a Machine of a host that does not hold the role.
func NewMachine(s Settings) *Machine {
	return &Machine{settings: s, hosts: map[string]*hostState{}}
}

// Tick returns what is to be done. The epoch is that of the role, 0 if this host does
// not hold it; hosts are all hosts, this one included.
func (m *Machine) Tick(now time.Duration, epoch uint64, hosts []Host) []Action {
	m.out = nil
	if epoch != m.epoch {
		m.start(now, epoch)
	}
	if m.phase == idle {
		return nil
	}
	if m.phase == stopped {
		if now-m.since >= m.settings.Lease {
			// The rows still name this host, so that no later reporter is at work.
			m.setPhase(now, stopped)
			m.do(NewEpoch{})
		}
		return m.out
	}
	if pause := now - m.tickedAt; pause > maxTickPause {
		m.onSuspended(now, pause)
	}
	m.tickedAt = now
	if step := m.time.update(now, countAlive(hosts)); step != 0 {
		m.decide(Decision{Kind: ClockStepped, Offset: step})
	}
	m.stepRow(now, hosts)
	m.stepSend(now)
	m.askHosts(now, hosts)
	return m.out
}

// onSuspended processes a pause in which this process did not run: it knows nothing of
// the other hosts in that time.
func (m *Machine) onSuspended(now, pause time.Duration) {
	for _, h := range m.hosts {
		h.aliveAt = min(now, h.aliveAt+pause)
	}
	m.since = now
}

func countAlive(hosts []Host) (n int) {
	for _, h := range hosts {
		if h.Alive {
			n++
		}
	}
	return n
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) nextCall() CallID {
	m.lastCall++
	return m.lastCall
}

func (m *Machine) decide(d Decision) {
	d.Epoch = m.epoch
	m.do(d)
}

// decideOnWrite reports a decision once the write under way is carried out.
func (m *Machine) decideOnWrite(d Decision) { m.writtenDecisions = append(m.writtenDecisions, d) }

func (m *Machine) setPhase(now time.Duration, p phase) { m.phase, m.since = p, now }

// start forgets what was known in another epoch. The clocks of the hosts stay known.
func (m *Machine) start(now time.Duration, epoch uint64) {
	m.epoch, m.tickedAt = epoch, now
	m.generation++
	m.rowCall, m.rowRetryAt, m.rowDelay = 0, 0, minRowDelay
	m.sendCall, m.sendAt, m.sendDelay = 0, 0, minSendDelay
	m.answers, m.accepted, m.unanswered = map[int64]map[process]answer{}, map[int64]bool{}, 0
	for _, h := range m.hosts {
		h.asking, h.aliveAt = false, now
	}
	if epoch == 0 {
		m.setPhase(now, idle)
		return
	}
	if epoch <= m.endedEpoch {
		m.setPhase(now, stopped)
		return
	}
	m.time.resume(now)
	m.setPhase(now, reading)
}

// stop ends the use of the epoch: a later reporter exists.
func (m *Machine) stop(now time.Duration, kind, reason string, window int64) {
	m.setPhase(now, stopped)
	m.endedEpoch = max(m.endedEpoch, m.epoch)
	m.rowCall, m.sendCall = 0, 0
	m.decide(Decision{Kind: kind, Window: window, Reason: reason})
}

// trueTime returns the estimated true time since 1970.
func (m *Machine) trueTime(now time.Duration) time.Duration { return now + m.time.offset }

func (m *Machine) windowEnd(w int64) time.Duration { return time.Duration(w+1) * m.settings.Window }

// stepRow reads or writes the row if that is needed.
func (m *Machine) stepRow(now time.Duration, hosts []Host) {
	if m.rowCall != 0 || now < m.rowRetryAt {
		return
	}
	if m.phase == reporting && m.storeEra > m.revision.Era() {
		m.setPhase(now, reading)
	}
	switch m.phase {
	case reading:
		m.rowCall = m.nextCall()
		m.do(ReadRow{Call: m.rowCall})
	case adopting:
		m.writtenDecisions = nil
		m.write(m.record.adopted(m.epoch, m.settings.Machine, now+m.storeOffset, m.settings.Lease))
	case reporting:
		if m.time.anchored {
			m.fixWindows(now, hosts)
		}
	}
}

func (m *Machine) write(next Record) {
	next.Era = m.revision.Era()
	m.rowCall, m.written = m.nextCall(), next
	m.do(WriteRow{Call: m.rowCall, Expect: m.revision, Record: next})
}

// delayRow repeats a failed call to the store after a pause, which grows until a write is
// carried out.
func (m *Machine) delayRow(now, pause time.Duration) {
	m.rowRetryAt = now + pause
	m.rowDelay = min(2*m.rowDelay, maxRowDelay)
}

// fixWindows writes the counts of the windows that can be closed.
func (m *Machine) fixWindows(now time.Duration, hosts []Host) {
	next := m.record
	if next.Next == 0 {
		// Windows that have begun may have been reported by a host whose row is gone, and
		// their first requests may not have been counted.
		next.Next = int64(m.trueTime(now)/m.settings.Window) + 1
		m.record.Next = next.Next
	}
	next.Fixed = nil
	for _, f := range m.record.Fixed {
		if !m.accepted[f.Window] {
			next.Fixed = append(next.Fixed, f)
		}
	}
	m.skipLost(now, &next)
	m.skipEarlierEra(&next)
	fixed := 0
	m.writtenDecisions = nil
	for m.canClose(now, next.Next, hosts) {
		next.Fixed = append(next.Fixed, m.close(now, next.Next, hosts))
		next.Next++
		fixed++
	}
	if fixed == 0 {
		return
	}
	for len(next.encode()) > maxRecordBytes && len(next.Fixed) > 1 {
		m.decideOnWrite(Decision{Kind: WindowSkipped, Window: next.Fixed[0].Window, Reason: "too many reports wait"})
		next.Fixed = next.Fixed[1:]
	}
	m.time.firm = true
	next.TrueMinusStore = m.time.offset - m.storeOffset
	m.write(next)
}

// skipLost skips the windows whose counts the home hosts no longer have.
func (m *Machine) skipLost(now time.Duration, next *Record) {
	oldest := m.trueTime(now) - m.settings.Retention()
	first := int64((oldest + m.settings.Window - 1) / m.settings.Window)
	if next.Next >= first {
		return
	}
	m.decide(Decision{Kind: WindowSkipped, Window: next.Next, Requests: first - next.Next, Reason: "the counts are too old"})
	next.Next, m.record.Next = first, first
	m.forgetAnswers()
}

// forgetAnswers forgets the counts of windows that are fixed or skipped.
func (m *Machine) forgetAnswers() {
	maps.DeleteFunc(m.answers, func(w int64, _ map[process]answer) bool { return w < m.record.Next })
}

// canClose reports whether the counts of a window can be fixed: all hosts have sent
// them, or there is no time to wait for the others.
func (m *Machine) canClose(now time.Duration, w int64, hosts []Host) bool {
	since := m.trueTime(now) - m.windowEnd(w)
	if since < settleTime {
		return false
	}
	missing, share := 0, silentShare
	for _, h := range hosts {
		if !m.isMissing(now, w, h) {
			continue
		}
		missing++
		if h.Alive {
			share = aliveShare
		}
	}
	if missing == 0 {
		return true
	}
	if cutOffDivisor*missing > len(hosts) {
		share = cutOffShare
	}
	return now-m.since >= minCollectTime && since >= time.Duration(share*float64(m.settings.Late))
}

// isMissing reports whether the counts of a host in a window may be incomplete. A host
// that has long been silent runs no requests.
func (m *Machine) isMissing(now time.Duration, w int64, h Host) bool {
	s, known := m.hosts[h.Name]
	gone := known && now-s.aliveAt > m.settings.Window+m.settings.Late
	return !gone && !m.answers[w][process{h.Name, h.Incarnation}].complete
}

// close returns the sum of the counts of a window.
func (m *Machine) close(now time.Duration, w int64, hosts []Host) Counts {
	sum := Counts{Window: w, Requests: map[string]int64{}}
	d := Decision{Kind: WindowFixed, Window: w, Hosts: len(m.answers[w]), Offset: m.trueTime(now) - m.windowEnd(w)}
	for _, a := range m.answers[w] {
		for customer, n := range a.requests {
			sum.Requests[customer] += n
			d.Requests += n
		}
	}
	for _, h := range hosts {
		if m.isMissing(now, w, h) {
			d.Missing = append(d.Missing, h.Name)
		}
	}
	m.decideOnWrite(d)
	if len(d.Missing) > 0 {
		m.decideOnWrite(Decision{Kind: WindowIncomplete, Window: w, Missing: d.Missing})
	}
	return sum
}

// stepSend sends a report that has not been accepted: the oldest one, or the one after
// that whose answer is missing, so that it does not hold back the others.
func (m *Machine) stepSend(now time.Duration) {
	if m.phase != reporting || m.sendCall != 0 || now < m.sendAt || now+m.storeOffset < max(m.record.ActAfterStore, m.quietUntil()) {
		return
	}
	var next *Counts
	for i, f := range m.record.Fixed {
		if m.accepted[f.Window] {
			continue
		}
		if next == nil || next.Window <= m.unanswered && f.Window > m.unanswered {
			next = &m.record.Fixed[i]
		}
	}
	if next != nil {
		m.sendCall = m.nextCall()
		m.do(Send{Call: m.sendCall, Counts: *next, Epoch: m.epoch})
	}
}
