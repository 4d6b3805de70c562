package usage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	testWindow = 5 * time.Second
	testLate   = 10 * time.Second
	testLease  = 3 * time.Second
	testHosts  = 7
	step       = 50 * time.Millisecond
	faultsEnd  = 60 * time.Second
	testEnd    = 100 * time.Second
	// epoch1970 is the true time at the start of a run.
	epoch1970 = 1_700_000_003 * time.Second
)

// world simulates hosts, the store and the platform, with calls that fail, whose answers
// are lost, or that are carried out late. It judges the reports.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	hosts []*worldHost
	epoch uint64
	later []laterCall

	value    []byte
	revision store.Revision
	// copies are the earlier rows, if the store comes back from older copies (restores).
	restores  bool
	copies    []rowCopy
	storeDown bool
	cloudDown bool
	calm      bool
	// Removed rules.
	anyRevision, forgetFormer bool

	highestToken uint64
	tokenOf      map[uint64]string
	reports      map[int64]map[string]int64
	reportedAt   map[int64]time.Duration
	acts         []act
	truth        map[int64]map[string]int64
	jumped       int
	breaches     []string
}

type worldHost struct {
	Host
	w                 *world
	boot, wallError   time.Duration
	machine           *Machine
	counter           *Counter
	epoch             uint64
	epochEnds         time.Duration
	unreachableForAsk bool
	decisions         map[string]int
}

type laterCall struct {
	at  time.Duration
	run func()
}

type act struct {
	machine string
	at      time.Duration
}

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), tokenOf: map[uint64]string{}, reports: map[int64]map[string]int64{},
		reportedAt: map[int64]time.Duration{}, truth: map[int64]map[string]int64{},
	}
	for i := range testHosts {
		h := &worldHost{w: w, boot: time.Duration(w.rng.Int64N(int64(time.Hour))) + time.Hour, Host: Host{Name: fmt.Sprint("h", i), Address: fmt.Sprint("a", i)}}
		h.wallError = time.Duration(w.rng.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
		w.hosts = append(w.hosts, h)
		w.startProcess(h)
	}
	return w
}

func (w *world) startProcess(h *worldHost) {
	h.Incarnation, h.epoch, h.Alive, h.decisions = h.Incarnation+1, 0, true, map[string]int{}
	s := Settings{Window: testWindow, Late: testLate, Lease: testLease, Machine: h.Address}
	h.machine = NewMachine(s)
	h.counter = NewCounter(h.clock, s.Retention(), telemetry.NewCounters())
}

func (h *worldHost) clock() time.Duration { return h.w.now + h.boot }

func (w *world) trueTime() time.Duration { return epoch1970 + w.now }

func (w *world) storeClock() time.Duration { return w.now + 17*time.Second }

func (w *world) breach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, run func()) {
	w.later = append(w.later, laterCall{w.now + d, run})
}

func (w *world) delay(most time.Duration) time.Duration {
	if w.calm {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(most)))
}

// carryOut runs a call to the store or the platform, perhaps late or not at all, and
// then answered, unless the answer is lost: lost is called then.
func (w *world) carryOut(down bool, call func() (answered func()), lost func()) {
	fate := w.rng.IntN(10)
	switch {
	case down || !w.calm && fate == 0:
		w.after(w.delay(time.Second), lost)
	case !w.calm && fate == 1:
		call()
		w.after(900*time.Millisecond, lost)
	case !w.calm && fate == 2:
		w.after(w.delay(6*time.Second), func() { call() })
		w.after(900*time.Millisecond, lost)
	default:
		w.after(w.delay(100*time.Millisecond), func() { w.after(w.delay(100*time.Millisecond), call()) })
	}
}

func (h *worldHost) perform(actions []Action) {
	w, m := h.w, h.machine
	ifRunning := func(f func() []Action) func() {
		return func() {
			if h.machine == m {
				h.perform(f())
			}
		}
	}
	for _, a := range append([]Action(nil), actions...) {
		switch a := a.(type) {
		case ReadRow:
			sent := h.clock()
			w.carryOut(w.storeDown, func() func() {
				r := RowRead{Value: w.value, Revision: w.revision, Stamp: w.storeClock(), Sent: sent, Received: h.clock()}
				return ifRunning(func() []Action { return m.OnRead(h.clock(), a.Call, r, true) })
			}, ifRunning(func() []Action { return m.OnRead(h.clock(), a.Call, RowRead{}, false) }))
		case WriteRow:
			if w.forgetFormer {
				a.Record.Former = nil
			}
			value := a.Record.encode()
			if a.Expect.Era() != w.revision.Era() && w.rng.IntN(2) == 0 {
				// The client of this host knows the era.
				w.after(0, ifRunning(func() []Action { return m.OnWrite(h.clock(), a.Call, Conflict, 0) }))
				break
			}
			w.carryOut(w.storeDown, func() func() {
				o := Conflict
				if a.Expect.Version() == w.revision.Version() || w.anyRevision {
					o = Written
					w.value, w.revision = value, w.revision+1
				}
				revision := w.revision
				if revision.Era() != a.Expect.Era() {
					o = Unknown
				}
				return ifRunning(func() []Action { return m.OnWrite(h.clock(), a.Call, o, revision) })
			}, ifRunning(func() []Action { return m.OnWrite(h.clock(), a.Call, Unknown, 0) }))
		case Send:
			counts, _ := json.Marshal(a.Counts)
			w.carryOut(w.cloudDown, func() func() {
				o := w.judgeReport(h, a.Epoch, counts)
				return ifRunning(func() []Action { return m.OnSent(h.clock(), a.Call, a.Window, o) })
			}, ifRunning(func() []Action { return m.OnSent(h.clock(), a.Call, a.Window, NoAnswer) }))
		case Ask:
			h.ask(a)
		case NewEpoch:
			w.epoch++
			h.epoch, h.epochEnds = w.epoch, 0
		case Decision:
			h.decisions[a.Kind]++
		}
	}
}

func (h *worldHost) ask(a Ask) {
	sent, m := h.clock(), h.machine
	i := slices.IndexFunc(h.w.hosts, func(o *worldHost) bool { return o.Name == a.Host.Name })
	other := h.w.hosts[i]
	if !other.Alive || other.unreachableForAsk || !h.w.calm && h.w.rng.IntN(20) == 0 {
		h.w.after(600*time.Millisecond, func() { m.OnAnswer(h.clock(), sent, a.Generation, a.Host, Answer{}, false) })
		return
	}
	s := Shell{opt: Options{Incarnation: other.Incarnation, Clock: other.clock, TimeOfDay: func() time.Duration { return h.w.trueTime() + other.wallError }, Counter: other.counter}}
	answer := s.Answer(a.Host.Incarnation, a.Windows)
	m.OnAnswer(h.clock()+time.Millisecond, sent, a.Generation, a.Host, answer, true)
}

// judgeReport is the platform: it checks the fence and that no window gets two counts.
func (w *world) judgeReport(h *worldHost, token uint64, data []byte) SendOutcome {
	var counts Counts
	if err := json.Unmarshal(data, &counts); err != nil {
		w.breach("report cannot be decoded: %v", err)
	}
	if holder, ok := w.tokenOf[token]; ok && holder != h.Address {
		w.breach("token %d was sent by %s and %s", token, holder, h.Address)
	}
	w.tokenOf[token] = h.Address
	if token < w.highestToken {
		return Refused
	}
	w.highestToken = token
	w.judgeTurns(act{h.Address, w.now})
	old, known := w.reports[counts.Window]
	if known && fmt.Sprint(old) != fmt.Sprint(counts.Requests) {
		w.breach("window %d: %v and then %v", counts.Window, old, counts.Requests)
	}
	if !known {
		w.reports[counts.Window], w.reportedAt[counts.Window] = counts.Requests, w.trueTime()
	}
	return Accepted
}

// judgeTurns looks for machines that act in the order A, B, A within the lease.
func (w *world) judgeTurns(a act) {
	other := false
	for _, old := range slices.Backward(w.acts) {
		if a.at-old.at >= testLease {
			break
		}
		if other && old.machine == a.machine {
			w.breach("%s acted at %v and %v with another one between", a.machine, old.at, a.at)
			break
		}
		other = other || old.machine != a.machine
	}
	w.acts = append(w.acts, a)
}

// step advances the world: requests, faults, calls and ticks.
func (w *world) step() {
	w.now += step
	if w.restores {
		w.copies = append(w.copies, rowCopy{w.now, w.value, w.revision.Version()})
	}
	for i, h := range w.hosts {
		for range w.rng.IntN(3) {
			if h.Alive {
				w.request(h, fmt.Sprint("c", i%3))
			}
		}
	}
	if !w.calm {
		w.injectFault()
	}
	due, rest := []laterCall(nil), []laterCall(nil)
	for _, c := range w.later {
		if c.at <= w.now {
			due = append(due, c)
		} else {
			rest = append(rest, c)
		}
	}
	w.later = rest
	for _, c := range due {
		c.run()
	}
	hosts := make([]Host, len(w.hosts))
	for i, h := range w.hosts {
		hosts[i] = h.Host
	}
	for _, h := range w.hosts {
		if h.epochEnds != 0 && w.now >= h.epochEnds {
			h.epoch, h.epochEnds = 0, 0
		}
		if h.Alive {
			if w.restores && w.rng.IntN(10) == 0 {
				h.machine.SetEra(w.revision.Era())
			}
			h.perform(h.machine.Tick(h.clock(), h.epoch, hosts))
		}
	}
}

func (w *world) request(h *worldHost, customer string) {
	ticket := h.counter.Begin(customer)
	if w.rng.IntN(10) == 0 {
		h.counter.NotRun(ticket)
		return
	}
	k := int64(w.trueTime() / testWindow)
	if w.truth[k] == nil {
		w.truth[k] = map[string]int64{}
	}
	w.truth[k][customer]++
}

// assign moves the role to a host. The last holder notices later, within the lease.
func (w *world) assign(h *worldHost) {
	w.epoch++
	for _, o := range w.hosts {
		if o.epoch != 0 && o.epochEnds == 0 {
			o.epochEnds = w.now + w.delay(testLease) + 1
		}
	}
	h.epoch, h.epochEnds = w.epoch, 0
}

func (w *world) kill(h *worldHost) {
	h.Alive, h.epoch, h.machine = false, 0, nil
	w.after(w.delay(8*time.Second), func() { w.startProcess(h) })
}

func (w *world) injectFault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(400) {
	case 0:
		if h.Alive {
			w.kill(h)
		}
	case 1, 2, 3:
		if h.Alive {
			w.assign(h)
		}
	case 4: // the role goes there and back
		if h.Alive {
			w.assign(h)
			back := w.hosts[w.rng.IntN(len(w.hosts))]
			w.after(w.delay(2*time.Second), func() {
				if back.Alive {
					w.assign(back)
				}
			})
		}
	case 5:
		jump := []time.Duration{-4 * time.Second, 4 * time.Second}[w.rng.IntN(2)]
		if h.wallError.Abs() > time.Second || w.jumped == (testHosts-1)/2 {
			break // the clocks of fewer than half of the hosts jump at the same time
		}
		w.jumped++
		h.wallError += jump
		w.after(w.delay(20*time.Second), func() {
			h.wallError -= jump
			w.jumped--
		})
	case 6:
		w.storeDown = true
		w.after(w.delay(6*time.Second), func() { w.storeDown = false })
	case 7:
		w.cloudDown = true
		w.after(w.delay(6*time.Second), func() { w.cloudDown = false })
	case 9, 10:
		if w.restores {
			w.restore(w.delay(8 * time.Second))
		}
	case 8:
		h.unreachableForAsk = true
		w.after(w.delay(6*time.Second), func() { h.unreachableForAsk = false })
	}
}

// run plays a run: faults until faultsEnd, then a calm end with one live holder.
func (w *world) run() {
	w.assign(w.hosts[0])
	for w.now < faultsEnd {
		w.step()
	}
	w.calm, w.storeDown, w.cloudDown = true, false, false
	for w.now < faultsEnd+10*time.Second {
		w.step() // calls and processes of before end and start
	}
	for _, h := range w.hosts {
		h.unreachableForAsk = false
	}
	w.assign(w.hosts[1])
	for w.now < testEnd {
		w.step()
	}
	w.judgeEnd()
}

// rowCopy is an earlier state of the row.
type rowCopy struct {
	at      time.Duration
	value   []byte
	version uint64
}

// restore brings the store back from a copy of an age, in the next era. In half of the cases
// the role then has a new holder.
func (w *world) restore(age time.Duration) {
	for len(w.copies) > 1 && w.copies[len(w.copies)-1].at > w.now-age {
		w.copies = w.copies[:len(w.copies)-1]
	}
	c := w.copies[len(w.copies)-1]
	w.value, w.revision = c.value, store.NewRevision(w.revision.Era()+1, c.version)
	if h := w.hosts[w.rng.IntN(len(w.hosts))]; h.Alive && w.rng.IntN(2) == 0 {
		w.assign(h)
	}
}

// judgeEnd checks the windows of the calm end: each is reported in time, with counts that
// are off by less than a twentieth.
func (w *world) judgeEnd() {
	first, last := int64((epoch1970+faultsEnd+15*time.Second)/testWindow), int64((epoch1970+testEnd-testLate)/testWindow)
	for k := first; k < last; k++ {
		end := time.Duration(k+1) * testWindow
		switch at, ok := w.reportedAt[k]; {
		case !ok:
			w.breach("window %d was not reported", k)
		case at > end+testLate:
			w.breach("window %d was reported %v after its end", k, at-end)
		}
		for customer, n := range w.truth[k] {
			if got := w.reports[k][customer]; float64(max(got-n, n-got)) > 0.05*float64(n)+1 {
				w.breach("window %d: %d requests of %s instead of %d", k, got, customer, n)
			}
		}
	}
}

// Guards against two counts for one window, reports of one token by two hosts, hosts that
// report in turn within the lease, and reports that are missing, late or wrong once the
// faults are over, with lost answers, calls carried out late, takeovers, clock steps and
// restarts.
func TestReportsUnderFaults(t *testing.T) {
	reported := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.run()
		reported += len(w.reports)
		if len(w.breaches) > 0 {
			t.Fatalf("%d breaches, first: %s", len(w.breaches), w.breaches[0])
		}
	})
	assert.Assert(t, reported > 0)
}

// Guards against a window that is reported with two counts, and against reports in turn
// within the lease, when the store comes back from older copies of the row and writes of the
// reporter are carried out in the next era.
func TestReportsWithRestoredStore(t *testing.T) {
	reported := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.restores, w.revision = true, store.NewRevision(1, 0)
		w.run()
		reported += len(w.reports)
		if len(w.breaches) > 0 {
			t.Fatalf("%d breaches, first: %s", len(w.breaches), w.breaches[0])
		}
	})
	assert.Assert(t, reported > 0)
}

// Guards against the return of faults that TestReportsWithRestoredStore found, by the seeds of
// the runs: a skip that was lost with its writer, reports in turn, counts of a reporter that
// went on, and windows that a late write had brought.
func TestSeedsThatBrokeReportsWithRestoredStore(t *testing.T) {
	for _, seed := range []uint64{0x4, 0x735ac, 0x4ac5, 0x1e5a, 0x3fad} {
		w := newWorld(seed)
		w.restores, w.revision = true, store.NewRevision(1, 0)
		w.run()
		assert.Assert(t, len(w.breaches) == 0, "seed %#x: %v", seed, w.breaches)
	}
}

// countBreaches plays runs with a rule removed and returns those with breaches.
func countBreaches(remove func(w *world)) (broken int) {
	for seed := range uint64(40) {
		w := newWorld(seed)
		remove(w)
		w.run()
		if len(w.breaches) > 0 {
			broken++
		}
	}
	return broken
}

// Guards against an oracle that would miss the loss of a rule: that the row is written
// at the expected revision only, and that a former reporter waits before it reports again.
func TestOracleNoticesRemovedRules(t *testing.T) {
	assert.Equal(t, countBreaches(func(*world) {}), 0)
	assert.Assert(t, countBreaches(func(w *world) { w.anyRevision = true }) > 0, "without the expected revision")
	assert.Assert(t, countBreaches(func(w *world) { w.forgetFormer = true }) > 0, "without the wait of a former reporter")
}
