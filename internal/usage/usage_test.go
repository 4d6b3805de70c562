package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
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
