package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// Guards against a floor that does not cover a commit acknowledged before the
// staleness bound of the read: the read would miss that commit. The test
// records all commits as its oracle; samples are taken late, out of order and
// rarely.
func TestFloorCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		type commit struct {
			at time.Duration
			p  statement.Position
		}
		var commits []commit
		now, p := time.Minute, statement.Position{Term: 1, Number: 1}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				p.Number++
				commits = append(commits, commit{now, p})
			case 1:
				// The sample answers a request that was sent some time ago.
				s.Observe("g", now-time.Duration(rapid.IntRange(0, 300).Draw(t, "ago"))*time.Millisecond, p)
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "promote") == 0 {
					p = statement.Position{Term: p.Term + 1, Number: p.Number}
				}
			default:
				since := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "staleness"))*time.Millisecond
				floor, ok := s.Floor("g", since)
				if !ok {
					continue
				}
				for _, c := range commits {
					if c.at < since && floor.Less(c.p) {
						t.Fatalf("floor %v does not cover commit %v acknowledged at %v, read covers commits before %v", floor, c.p, c.at, since)
					}
				}
			}
		}
	})
}

// Guards against a floor that is older than the staleness bound because all
// samples are.
func TestNoFloorWithoutRecentSample(t *testing.T) {
	s := New()
	s.Observe("g", time.Second, statement.Position{Term: 1, Number: 5})
	_, ok := s.Floor("g", 2*time.Second)
	assert.Assert(t, !ok)
	_, ok = s.Floor("other", 0)
	assert.Assert(t, !ok)
}

// Guards against reads that wait forever for a position which a promotion
// rolled back, and against a session that no longer reads its own writes after
// a promotion.
func TestCoveringPositionReplacesPositionsOfOlderTerms(t *testing.T) {
	s := New()
	s.Observe("g", time.Second, statement.Position{Term: 3, Number: 100})
	s.Observe("g", 2*time.Second, statement.Position{Term: 4, Number: 90})
	rolledBack := statement.Position{Term: 3, Number: 105}
	assert.Equal(t, s.CoveringPosition("g", rolledBack, statement.Position{Term: 4, Number: 89}), statement.Position{Term: 4, Number: 90})
	own := statement.Position{Term: 4, Number: 95}
	assert.Equal(t, s.CoveringPosition("g", statement.Position{Term: 4, Number: 91}, own), own)
}
