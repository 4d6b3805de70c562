package supervise

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playOverdue plays a server whose workers send one statement after another, each given
// up after attempt, and returns the time of the first ejection, 0 if there is none.
func playOverdue(seed uint64, workers int, length, attempt time.Duration, service func(r *rand.Rand) time.Duration) time.Duration {
	type statement struct{ sent, ends time.Duration }
	r := rand.New(rand.NewPCG(seed, 1))
	var d Detector
	active := make([]statement, workers)
	for i := range active {
		active[i] = statement{0, service(r)}
	}
	for now := time.Millisecond; now < length; now += time.Millisecond {
		for i, s := range active {
			customer := []string{"a", "b"}[r.IntN(2)]
			switch {
			case s.ends <= now:
				d.RecordSuccess(now, customer)
			case now-s.sent >= attempt:
				if c, ok := d.RecordOverdue(now, s.sent, customer, Group{Servers: 3}); ok && c.State == Ejected {
					return now
				}
			default:
				continue
			}
			active[i] = statement{now, now + service(r)}
		}
	}
	return 0
}

// Guards against the ejection of a server that is eight times slower and little used, so
// that most answers come after the reads are given up. Its reads would fill the others.
func TestServerThatIsEightTimesSlowerKeepsItsReads(t *testing.T) {
	slow := func(r *rand.Rand) time.Duration {
		return 8 * time.Duration((10+18*r.ExpFloat64())*float64(time.Millisecond))
	}
	for _, workers := range []int{2, 3, 6} {
		ejected := 0
		for seed := range uint64(20) {
			if playOverdue(seed, workers, 6500*time.Millisecond, 200*time.Millisecond, slow) > 0 {
				ejected++
			}
		}
		t.Logf("%d statements at a time: ejected in %d of 20 runs", workers, ejected)
		if workers >= 3 {
			assert.Equal(t, ejected, 0)
		}
	}
}

// Guards against a server without answers that keeps its reads.
func TestServerWithoutAnswersIsEjectedWithinASecond(t *testing.T) {
	never := func(*rand.Rand) time.Duration { return time.Hour }
	for _, workers := range []int{2, 6} {
		at := playOverdue(1, workers, 5*time.Second, 200*time.Millisecond, never)
		t.Logf("%d statements at a time: ejected after %v", workers, at)
		assert.Assert(t, at > 0 && at <= time.Second)
	}
}

// Guards against deadlines that were short on arrival and count against the server.
func TestShortDeadlinesDoNotEject(t *testing.T) {
	usual := func(r *rand.Rand) time.Duration {
		return time.Duration((10 + 18*r.ExpFloat64()) * float64(time.Millisecond))
	}
	assert.Equal(t, playOverdue(1, 1, 10*time.Second, 15*time.Millisecond, usual), time.Duration(0))
}
