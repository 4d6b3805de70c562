package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

var zones = []string{"a", "b", "c", "d"}

func testBalancer() *Balancer { return NewBalancer(rand.New(rand.NewPCG(1, 2))) }

func generateView(t *rapid.T) GroupView {
	v := GroupView{
		OwnZone: "a", Homes: map[string]Host{}, Unreachable: map[string]bool{}, Term: 3,
		ZonesOut: rapid.SliceOfNDistinct(rapid.SampledFrom(zones), 0, 2, rapid.ID).Draw(t, "out"),
	}
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5"} {
		s := config.Server{Name: name, Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Leaving: rapid.Bool().Draw(t, "leaving")}
		v.Group.Servers = append(v.Group.Servers, s)
		if rapid.IntRange(0, 4).Draw(t, "home") > 0 {
			h := Host{Name: "host-" + name, Zone: s.Zone}
			v.Homes[name] = h
			v.Unreachable[h.Name] = rapid.Bool().Draw(t, "unreachable")
		}
	}
	v.Primary = rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "primary")
	return v
}

func serverByName(v GroupView, name string) config.Server {
	for _, s := range v.Group.Servers {
		if s.Name == name {
			return s
		}
	}
	return config.Server{}
}

// Guards against requests sent to a server that is leaving or in a zone
// that is out of service, against a usable server that is never tried, and
// against a wrong order of the candidates.
func TestCandidatesAreUsableAndOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, v, now := testBalancer(), generateView(t), time.Second
		failed := map[string]bool{}
		for _, s := range v.Group.Servers {
			if h, ok := v.Homes[s.Name]; ok && rapid.Bool().Draw(t, "failed") {
				c := Candidate{Server: s.Name, Home: h, Primary: s.Name == v.Primary}
				if c.Primary {
					c.Term = v.Term
				}
				b.RecordFailure(now, c, verdict.BackendUnreachable)
				failed[s.Name] = true
			}
		}
		list := b.ReadCandidates(now, v, false)
		usable := 0
		for _, s := range v.Group.Servers {
			if _, ok := v.Homes[s.Name]; ok && unusableError(v, s) == nil {
				usable++
			}
		}
		assert.Equal(t, len(list), usable)
		expectedRank := func(c Candidate) int {
			switch {
			case c.Primary:
				return 3
			case failed[c.Server] || v.Unreachable[c.Home.Name]:
				return 2
			case serverByName(v, c.Server).Zone != v.OwnZone:
				return 1
			}
			return 0
		}
		for i, c := range list {
			s := serverByName(v, c.Server)
			assert.Assert(t, !s.Leaving)
			for _, z := range v.ZonesOut {
				assert.Assert(t, s.Zone != z)
			}
			assert.Equal(t, c.Primary, c.Server == v.Primary)
			if i > 0 {
				assert.Assert(t, expectedRank(list[i-1]) <= expectedRank(c), "%v before %v", list[i-1], c)
			}
		}
		for _, c := range b.ReadCandidates(now, v, true) {
			assert.Equal(t, c.Server, v.Primary, "a current read ran on a replica")
		}
		c, wait, refusal := b.WriteCandidate(now, v)
		if refusal == nil {
			assert.Equal(t, c.Server, v.Primary)
			assert.Assert(t, unusableError(v, serverByName(v, c.Server)) == nil)
			assert.Assert(t, !failed[c.Server], "a write did not wait after a failure")
		} else {
			assert.Assert(t, wait > 0 && wait <= backoffMax && refusal.Verdict == verdict.NotRun)
		}
	})
}

// Guards against a slow replica that keeps its share of the reads, and against
// one that is never tried again after its measurement has expired.
func TestReadAvoidsSlowReplica(t *testing.T) {
	b := testBalancer()
	v := GroupView{OwnZone: "a", Homes: map[string]Host{}}
	for _, name := range []string{"s1", "s2"} {
		v.Group.Servers = append(v.Group.Servers, config.Server{Name: name, Zone: "b"})
		v.Homes[name] = Host{Name: "host-" + name}
	}
	slow := Candidate{Server: "s1", Home: v.Homes["s1"]}
	firstChoices := map[string]int{}
	countFirstChoices := func(now time.Duration) {
		clear(firstChoices)
		for range 100 {
			firstChoices[b.ReadCandidates(now, v, false)[0].Server]++
		}
	}
	countFirstChoices(0)
	assert.Assert(t, firstChoices["s1"] > 20 && firstChoices["s2"] > 20, "equal replicas share the load: %v", firstChoices)
	b.RecordSuccess(time.Second, slow, 400*time.Millisecond)
	b.RecordSuccess(time.Second, Candidate{Server: "s2", Home: v.Homes["s2"]}, time.Millisecond)
	countFirstChoices(time.Second)
	assert.Equal(t, firstChoices["s2"], 100)
	countFirstChoices(time.Second + 2*healthTTL)
	assert.Assert(t, firstChoices["s1"] > 20)
}

// Guards against all waiting writes probing a failed primary at once, and
// against writes that still wait when a new primary is known or the old one has
// recovered.
func TestFailedPrimaryIsProbedByOneWriteAtATime(t *testing.T) {
	b := testBalancer()
	v := GroupView{
		Group:   config.Group{Name: "g", Servers: []config.Server{{Name: "s1"}, {Name: "s2"}}},
		Homes:   map[string]Host{"s1": {Name: "h1"}, "s2": {Name: "h2"}},
		Primary: "s1", Term: 1,
	}
	c, _, refusal := b.WriteCandidate(0, v)
	assert.Assert(t, refusal == nil)
	b.RecordFailure(0, c, verdict.AuthorityLost)
	now := backoffMax
	sent := 0
	for range 100 {
		if _, _, refusal := b.WriteCandidate(now, v); refusal == nil {
			sent++
		}
	}
	assert.Equal(t, sent, 1)
	v.Primary, v.Term = "s2", 2
	_, _, refusal = b.WriteCandidate(now, v)
	assert.Assert(t, refusal == nil)
	v.Primary, v.Term = "s1", 1
	b.RecordSuccess(now, c, time.Millisecond)
	_, _, refusal = b.WriteCandidate(now, v)
	assert.Assert(t, refusal == nil)
}

// Guards against retries that multiply the load of a failing backend server.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		now, first, retries := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.AddFirstAttempt()
				first++
			case 1:
				if b.TakeRetry(now) {
					retries++
				}
			case 2:
				now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			}
		}
		limit := maxSavedRetries + retriesPerAttempt*float64(first) + retriesPerSecond*now.Seconds()
		assert.Assert(t, float64(retries) <= limit+1e-6)
	})
}
