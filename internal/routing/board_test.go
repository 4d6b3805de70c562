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

func testBoard() *Board { return NewBoard(rand.New(rand.NewPCG(1, 2))) }

func drawView(t *rapid.T) View {
	v := View{
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

func server(v View, name string) config.Server {
	for _, s := range v.Group.Servers {
		if s.Name == name {
			return s
		}
	}
	return config.Server{}
}

// Guards against work for a server that is leaving or in a zone that is out,
// against a usable server that is never tried, and against a wrong order.
func TestReadCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, v, now := testBoard(), drawView(t), time.Second
		failed := map[string]bool{}
		for _, s := range v.Group.Servers {
			if h, ok := v.Homes[s.Name]; ok && rapid.Bool().Draw(t, "failed") {
				c := Candidate{Server: s.Name, Home: h, Primary: s.Name == v.Primary}
				if c.Primary {
					c.Term = v.Term
				}
				b.Failed(now, c, verdict.BackendUnreachable)
				failed[s.Name] = true
			}
		}
		list := b.Read(now, v, false)
		usable := 0
		for _, s := range v.Group.Servers {
			if _, ok := v.Homes[s.Name]; ok && unusable(v, s) == nil {
				usable++
			}
		}
		assert.Equal(t, len(list), usable)
		class := func(c Candidate) int {
			switch {
			case c.Primary:
				return 3
			case failed[c.Server] || v.Unreachable[c.Home.Name]:
				return 2
			case server(v, c.Server).Zone != v.OwnZone:
				return 1
			}
			return 0
		}
		for i, c := range list {
			s := server(v, c.Server)
			assert.Assert(t, !s.Leaving)
			for _, z := range v.ZonesOut {
				assert.Assert(t, s.Zone != z)
			}
			assert.Equal(t, c.Primary, c.Server == v.Primary)
			if i > 0 {
				assert.Assert(t, class(list[i-1]) <= class(c), "%v before %v", list[i-1], c)
			}
		}
		for _, c := range b.Read(now, v, true) {
			assert.Equal(t, c.Server, v.Primary, "a current read ran on a replica")
		}
		c, wait, refused := b.Write(now, v)
		if refused == nil {
			assert.Equal(t, c.Server, v.Primary)
			assert.Assert(t, unusable(v, server(v, c.Server)) == nil)
			assert.Assert(t, !failed[c.Server], "a write did not wait after a failure")
		} else {
			assert.Assert(t, wait > 0 && wait <= coolMax && refused.Verdict == verdict.NotRun)
		}
	})
}

// Guards against a slow replica that keeps its share of the reads, and against
// one that is never tried again.
func TestReadAvoidsSlowReplica(t *testing.T) {
	b := testBoard()
	v := View{OwnZone: "a", Homes: map[string]Host{}}
	for _, name := range []string{"s1", "s2"} {
		v.Group.Servers = append(v.Group.Servers, config.Server{Name: name, Zone: "b"})
		v.Homes[name] = Host{Name: "host-" + name}
	}
	slow := Candidate{Server: "s1", Home: v.Homes["s1"]}
	first := map[string]int{}
	count := func(now time.Duration) {
		clear(first)
		for range 100 {
			first[b.Read(now, v, false)[0].Server]++
		}
	}
	count(0)
	assert.Assert(t, first["s1"] > 20 && first["s2"] > 20, "equal replicas share the load: %v", first)
	b.Succeeded(time.Second, slow, 400*time.Millisecond)
	b.Succeeded(time.Second, Candidate{Server: "s2", Home: v.Homes["s2"]}, time.Millisecond)
	count(time.Second)
	assert.Equal(t, first["s2"], 100)
	count(time.Second + 2*healthTTL)
	assert.Assert(t, first["s1"] > 20)
}

// Guards against writes that all probe a failed primary at once, and against
// writes that wait although a new primary is known.
func TestWriteProbesOneAtATime(t *testing.T) {
	b := testBoard()
	v := View{
		Group:   config.Group{Name: "g", Servers: []config.Server{{Name: "s1"}, {Name: "s2"}}},
		Homes:   map[string]Host{"s1": {Name: "h1"}, "s2": {Name: "h2"}},
		Primary: "s1", Term: 1,
	}
	c, _, refused := b.Write(0, v)
	assert.Assert(t, refused == nil)
	b.Failed(0, c, verdict.AuthorityLost)
	now := coolMax
	sent := 0
	for range 100 {
		if _, _, refused := b.Write(now, v); refused == nil {
			sent++
		}
	}
	assert.Equal(t, sent, 1)
	v.Primary, v.Term = "s2", 2
	_, _, refused = b.Write(now, v)
	assert.Assert(t, refused == nil)
	v.Primary, v.Term = "s1", 1
	b.Succeeded(now, c, time.Millisecond)
	_, _, refused = b.Write(now, v)
	assert.Assert(t, refused == nil)
}

// Guards against retries that multiply the load of a failing backend server.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		now, first, retries := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.First()
				first++
			case 1:
				if b.Retry(now) {
					retries++
				}
			case 2:
				now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond
			}
		}
		limit := retryBurst + retryShare*float64(first) + retryRate*now.Seconds()
		assert.Assert(t, float64(retries) <= limit+1e-6)
	})
}
