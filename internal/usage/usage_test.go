package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

func TestMain(m *testing.M) {
	fixedseed.SetDefaults(map[string]string{"rapid.checks": "60"})
	m.Run()
}

// Guards against counts of requests that did not run or began outside the window, and
// against a Counter that grows without bound.
func TestCounterCountsWindow(t *testing.T) {
	now := time.Duration(0)
	c := NewCounter(func() time.Duration { return now }, 20*time.Second, telemetry.NewCounters())
	var refused Ticket
	for i := range 100_000 {
		now = time.Duration(i) * time.Millisecond
		ticket := c.Begin("c")
		if i == 99_950 {
			refused = ticket
		}
	}
	c.NotRun(0) // forgotten already
	c.NotRun(refused)
	assert.DeepEqual(t, c.Count(99_900*time.Millisecond, 100*time.Second), map[string]int64{"c": 99})
	assert.DeepEqual(t, c.Count(80*time.Second, 85*time.Second), map[string]int64{"c": 5000})
	assert.Assert(t, len(c.requests) <= 41_000, "%d requests", len(c.requests))
}

// Guards against an estimate of the true time that a minority of the clocks moves, that
// a jump of most clocks moves at once, or that never follows a lasting change.
func TestTimeOfDay(t *testing.T) {
	var e timeOfDay
	now := time.Duration(0)
	play := func(seconds int, offsets ...time.Duration) (steps int) {
		for range 10 * seconds {
			now += 100 * time.Millisecond
			for i, o := range offsets {
				e.record(now, fmt.Sprint(i), o)
			}
			if e.update(now, len(offsets)) != 0 {
				steps++
			}
		}
		return steps
	}
	const s, ms = time.Second, time.Millisecond
	play(5, 1000*s, 1000*s+ms, 1002*s, 1000*s-ms, 1000*s)
	assert.Assert(t, e.firm && e.offset == 1000*s, "%v", e.offset)
	play(30, 1000*s, 995*s, 995*s, 1000*s, 1000*s)
	assert.Equal(t, e.offset, 1000*s)
	steps := play(50, 1004*s, 1004*s, 1004*s, 1000*s, 1000*s)
	steps += play(30, 1000*s, 1000*s, 1000*s, 1000*s, 1000*s)
	assert.Assert(t, steps == 0 && (e.offset-1000*s).Abs() < 100*ms, "%v", e.offset)
	assert.Equal(t, play(70, 1004*s, 1004*s, 1004*s, 1004*s, 1000*s), 1)
	assert.Equal(t, e.offset, 1004*s)
	play(20, 1004*s+10*ms, 1004*s+10*ms, 1004*s+10*ms, 1004*s+10*ms, 1004*s+10*ms)
	assert.Assert(t, (e.offset-1004*s-10*ms).Abs() < ms, "%v", e.offset)
}

// Guards against a row of another program, or of a wrong form, being used.
func TestUnusableRecordIsRefused(t *testing.T) {
	good := Record{Epoch: 3, Machine: "a", Next: 9, Fixed: []Counts{{Window: 7}, {Window: 8}}}
	_, ok := decodeRecord(good.encode())
	assert.Assert(t, ok)
	for _, text := range []string{"", "null", "{}", "[", `{"epoch":3,"next":-1}`, `{"epoch":3,"next":5,"fixed":[{"window":5}]}`, `{"epoch":3,"next":9,"fixed":[{"window":8},{"window":7}]}`} {
		_, ok := decodeRecord([]byte(text))
		assert.Assert(t, !ok, "%s", text)
	}
}

// Guards against a step of the estimate because most clocks disagreed with it at two times
// far apart, with a time between in which this host was not the reporter or reached only
// a minority, and against an adjustment for a time in which there were no readings.
func TestTimeOfDayDoesNotStepAfterInterruption(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	start := func() (*timeOfDay, func(seconds, hosts int, offsets ...time.Duration) bool, *time.Duration) {
		e, now := &timeOfDay{}, new(time.Duration)
		play := func(seconds, hosts int, offsets ...time.Duration) (stepped bool) {
			for range 10 * seconds {
				*now += 100 * ms
				for i, o := range offsets {
					e.record(*now, fmt.Sprint(i), o)
				}
				stepped = e.update(*now, hosts) != 0 || stepped
			}
			return stepped
		}
		play(5, 3, 1000*s, 1000*s, 1000*s)
		assert.Assert(t, !play(5, 3, 1004*s, 1004*s, 1000*s))
		return e, play, now
	}

	e, play, now := start()
	*now += time.Hour
	e.resume(*now)
	e.inherit(*now, 1000*s, 0)
	assert.Assert(t, !play(5, 3, 1004*s, 1004*s, 1000*s), "stepped at once in a later term")

	_, play, _ = start()
	assert.Assert(t, !play(70, 7, 1004*s, 1004*s, 1004*s))
	assert.Assert(t, !play(5, 3, 1004*s, 1004*s, 1000*s), "stepped at once after a minority")

	e, play, now = start()
	*now += time.Hour
	e.resume(*now)
	e.inherit(*now, 1000*s, 0)
	play(1, 3, 1000*s+400*ms, 1000*s+400*ms, 1000*s+400*ms)
	assert.Assert(t, e.offset <= 1000*s+2*ms, "%v", e.offset)
}

// startReporter returns a Machine that has adopted the row and reports, and its time.
func startReporter(t *testing.T, row Record, revision store.Revision, epoch uint64) (*Machine, time.Duration) {
	m := NewMachine(Settings{Window: testWindow, Late: testLate, Lease: testLease, Machine: "a"})
	now := time.Hour
	adopt(t, m, now, row, revision, epoch)
	return m, now
}

func adopt(t *testing.T, m *Machine, now time.Duration, row Record, revision store.Revision, epoch uint64) {
	read := firstAction[ReadRow](t, m.Tick(now, epoch, nil))
	m.OnRead(now, read.Call, RowRead{Value: row.encode(), Revision: revision, Stamp: now, Sent: now, Received: now}, true)
	if m.phase == adopting {
		write := firstAction[WriteRow](t, m.Tick(now, epoch, nil))
		m.OnWrite(now, write.Call, Written, revision+1)
	}
	assert.Equal(t, m.phase, reporting)
}

func firstAction[T Action](t *testing.T, actions []Action) T {
	for _, a := range actions {
		if a, ok := a.(T); ok {
			return a
		}
	}
	var none T
	t.Fatalf("no %T in %v", none, actions)
	return none
}

func reporterRow(now time.Duration) Record {
	next := int64((epoch1970 + now) / testWindow)
	return Record{
		Epoch: 1, Machine: "b", Window: testWindow, TrueMinusStore: epoch1970, Next: next,
		Fixed: []Counts{{Window: next - 2, Requests: map[string]int64{"c": 1}}, {Window: next - 1, Requests: map[string]int64{"c": 2}}},
	}
}

// Guards against a token that is used again after the platform refused it, when the role
// was lost from sight for a moment and the row does not name the later reporter.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	m, now := startReporter(t, reporterRow(time.Hour), 5, 7)
	send := firstAction[Send](t, m.Tick(now, 7, nil))
	m.OnSent(now, send.Call, send.Window, Refused)
	m.Tick(now+time.Second, 0, nil)
	for _, a := range m.Tick(now+2*time.Second, 7, nil) {
		_, reads := a.(ReadRow)
		assert.Assert(t, !reads, "epoch 7 is used again")
	}
	firstAction[NewEpoch](t, m.Tick(now+2*time.Second+testLease, 7, nil))
	adopt(t, m, now+6*time.Second, reporterRow(time.Hour), 6, 8)
}

// Guards against counts that are kept for windows that were skipped, as long as no write
// of the row succeeds.
func TestCountsOfSkippedWindowsAreForgotten(t *testing.T) {
	m, now := startReporter(t, reporterRow(time.Hour), 5, 7)
	host := Host{Name: "h", Incarnation: 1, Alive: true}
	for range 6000 {
		now += 100 * time.Millisecond
		for _, a := range append([]Action(nil), m.Tick(now, 7, []Host{host})...) {
			switch a := a.(type) {
			case WriteRow:
				m.OnWrite(now, a.Call, Unknown, 0)
			case Ask:
				answer := Answer{Incarnation: 1, Clock: now, TimeOfDay: epoch1970 + now}
				for _, w := range a.Windows {
					answer.Windows = append(answer.Windows, WindowAnswer{Window: w.Window, Complete: now >= w.To, Requests: map[string]int64{"c": 1}})
				}
				m.OnAnswer(now, now, a.Generation, a.Host, answer, true)
			}
		}
	}
	assert.Assert(t, len(m.answers) <= 8, "%d windows", len(m.answers))
}

// Guards against a report that gets no answer and holds back those of later windows.
func TestUnansweredReportDoesNotHoldBackOthers(t *testing.T) {
	m, now := startReporter(t, reporterRow(time.Hour), 5, 7)
	first := firstAction[Send](t, m.Tick(now, 7, nil))
	m.OnSent(now, first.Call, first.Window, NoAnswer)
	second := firstAction[Send](t, m.Tick(now+time.Second, 7, nil))
	assert.Equal(t, second.Window, first.Window+1)
	m.OnSent(now+time.Second, second.Call, second.Window, Accepted)
	assert.Equal(t, firstAction[Send](t, m.Tick(now+2*time.Second, 7, nil)).Window, first.Window)
}

// Guards against reports that cease for years, or bear wrong numbers, after usage_window
// was changed.
func TestRowOfOtherWindowLengthStartsAnew(t *testing.T) {
	row := reporterRow(time.Hour)
	row.Window, row.Next = testWindow/5, row.Next*5
	m, now := startReporter(t, row, 5, 7)
	m.Tick(now, 7, nil)
	assert.Equal(t, m.record.Next, int64((epoch1970+now)/testWindow)+1)
	assert.Equal(t, len(m.record.Fixed), 0)
	assert.Equal(t, m.record.Window, testWindow)
}

// Guards against a reporter that was suspended, still holds the role when it wakes, and
// closes windows without asking the hosts whose heartbeats it missed meanwhile.
func TestSuspendedReporterAsksBeforeItClosesWindows(t *testing.T) {
	m, now := startReporter(t, reporterRow(time.Hour), 5, 7)
	hosts := []Host{{Name: "h", Incarnation: 1, Alive: true}}
	m.Tick(now, 7, hosts)
	woken := now + testWindow + testLate + time.Second
	hosts[0].Alive = false
	for now = woken; now < woken+minCollectTime; now += 100 * time.Millisecond {
		for _, a := range m.Tick(now, 7, hosts) {
			_, writes := a.(WriteRow)
			assert.Assert(t, !writes, "written %v after the suspension", now-woken)
		}
	}
	firstAction[WriteRow](t, m.Tick(now, 7, hosts))
}

// Guards against a token that two hosts use: the epochs of a role whose row was lost start
// anew and reach the one that another host has written into the reporter's row.
func TestEpochOfOtherMachineIsNotUsed(t *testing.T) {
	m := NewMachine(Settings{Window: testWindow, Late: testLate, Lease: testLease, Machine: "a"})
	now, row := time.Hour, reporterRow(time.Hour)
	row.Epoch = 7
	read := firstAction[ReadRow](t, m.Tick(now, 7, nil))
	m.OnRead(now, read.Call, RowRead{Value: row.encode(), Revision: 5, Stamp: now, Sent: now, Received: now}, true)
	assert.Equal(t, m.phase, stopped)
	adopt(t, m, now+testLease, row, 5, 8)
	row.Machine = "a"
	m, _ = startReporter(t, row, 5, 7) // its own write, whose answer was lost
	assert.Equal(t, m.revision, store.Revision(5))
}

// Guards against failing calls to the store that are repeated several times a second for
// as long as this host holds the role.
func TestFailingCallsToTheStoreAreRepeatedLessOften(t *testing.T) {
	const length = time.Minute
	row := reporterRow(time.Hour)
	hosts := []Host{{Name: "h", Incarnation: 1}}
	for _, outcome := range []WriteOutcome{Unknown, Conflict} {
		m, now := startReporter(t, row, 5, 7)
		adopted := m.record
		writes, reads, longest := 0, 0, time.Duration(0)
		var last time.Duration
		// tick answers the calls of one tick and returns the number of writes.
		tick := func(outcome WriteOutcome) (written int) {
			now += 100 * time.Millisecond
			for _, a := range append([]Action(nil), m.Tick(now, 7, hosts)...) {
				switch a := a.(type) {
				case WriteRow:
					written++
					m.OnWrite(now, a.Call, outcome, 6)
				case ReadRow:
					reads++
					m.OnRead(now, a.Call, RowRead{Value: adopted.encode(), Revision: 6, Stamp: now, Sent: now, Received: now}, true)
				}
			}
			return written
		}
		for end := now + length; now < end; {
			if tick(outcome) > 0 {
				writes++
				if last > 0 {
					longest = max(longest, now-last)
				}
				last = now
			}
		}
		t.Logf("outcome %d: %d writes, %d reads in %v", outcome, writes, reads, length)
		assert.Assert(t, writes > 20 && writes < 40, "%d writes", writes)
		assert.Assert(t, reads <= writes)
		assert.Assert(t, longest <= maxRowDelay+300*time.Millisecond, "%v", longest)

		// A write that is carried out ends the backoff.
		for tick(Written) == 0 {
			assert.Assert(t, now < time.Hour+length+5*time.Second)
		}
		assert.Equal(t, m.rowDelay, minRowDelay)
	}

	m := NewMachine(Settings{Window: testWindow, Late: testLate, Lease: testLease, Machine: "a"})
	reads := 0
	for now := time.Hour; now < time.Hour+length; now += 100 * time.Millisecond {
		for _, a := range append([]Action(nil), m.Tick(now, 7, hosts)...) {
			if a, ok := a.(ReadRow); ok {
				reads++
				m.OnRead(now, a.Call, RowRead{}, false)
			}
		}
	}
	assert.Assert(t, reads > 20 && reads < 40, "%d reads", reads)
}
