package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Obstacle is a reason why a server gets no read, or gets it after other servers.
type Obstacle struct {
	Reason ObstacleReason `json:"reason"`
	Detail string         `json:"detail"`
	// LeftOut is set if the server is no candidate. Otherwise it is only put behind others.
	LeftOut bool `json:"left_out"`
}

// ObstacleReason names the kind of an Obstacle.
type ObstacleReason string

// Reasons for an Obstacle.
const (
	ObstacleLeaving         ObstacleReason = "leaving"
	ObstacleZoneOut         ObstacleReason = "zone_out"
	ObstacleNoHome          ObstacleReason = "no_home"
	ObstacleLag             ObstacleReason = "lag"
	ObstacleHomeUnreachable ObstacleReason = "home_unreachable"
	ObstacleBackoff         ObstacleReason = "backoff"
	ObstacleEjected         ObstacleReason = "ejected"
	ObstaclePace            ObstacleReason = "pace"
	ObstacleFull            ObstacleReason = "full"
	ObstacleOtherZone       ObstacleReason = "other_zone"
	ObstacleLatency         ObstacleReason = "latency"
	ObstaclePrimary         ObstacleReason = "primary"
	ObstacleNotPrimary      ObstacleReason = "not_primary"
	ObstacleNotReached      ObstacleReason = "not_reached"
)

// AnyRequest reports whether the obstacle concerns requests of all kinds, not only reads.
func (x Obstacle) AnyRequest() bool {
	switch x.Reason {
	case ObstacleLeaving, ObstacleZoneOut, ObstacleNoHome, ObstacleHomeUnreachable:
		return true
	}
	return false
}

// Standing is what a host knows of one server of a group.
type Standing struct {
	Candidate
	Zone      string
	HasHome   bool
	Obstacles []Obstacle
	Load      serverload.Load
	LoadAge   time.Duration
	LoadKnown bool
}

// Preview returns an order by the same knowledge as o that draws from r instead, so that
// its orders change nothing for o. It shares the state of o and must not be used at the
// same time.
func (o *LoadOrder) Preview(r *rand.Rand) *LoadOrder {
	b := *o.balancer
	b.rand = r
	return &LoadOrder{balancer: &b, loads: o.loads, inFlight: o.inFlight}
}

// ByZone returns the candidates for a read in the order of Balancer.ReadCandidates.
func (o *LoadOrder) ByZone(now time.Duration, v GroupView) []Candidate {
	return o.balancer.ReadCandidates(now, v, false)
}

// Standings returns what is known of each server of the group, and what keeps reads from
// it. Without byLoad, loads are reported but are no obstacles. It draws nothing at random
// and changes nothing.
func (o *LoadOrder) Standings(now time.Duration, v GroupView, d ReadDemand, byLoad bool) []Standing {
	list := make([]Standing, len(v.Group.Servers))
	replicas, ejected := 0, 0
	for i, server := range v.Group.Servers {
		s := Standing{Candidate: Candidate{Server: server.Name, Primary: server.Name == v.Primary}, Zone: server.Zone}
		if s.Primary {
			s.Term = v.Term
		}
		s.Home, s.HasHome = v.Homes[server.Name]
		s.Load, s.LoadAge, s.LoadKnown = o.loads.Get(now, server.Name)
		if !s.HasHome {
			s.add(ObstacleNoHome, true, "no host holds the home role of the server")
		}
		if refusal := unusableError(v, server); refusal != nil {
			s.add(refusalObstacle(refusal.Reason), true, "%s", refusal.Message)
		}
		if s.HasHome && unusableError(v, server) == nil && !s.Primary {
			replicas++
			if o.estimate(now, server.Name, d.Priority).ejected {
				ejected++
			}
		}
		list[i] = s
	}
	heeded := ejectionsHold(replicas, ejected)
	for i := range list {
		if list[i].HasHome {
			o.addObstacles(now, v, &list[i])
		}
		if byLoad {
			o.addLoadObstacles(now, d, &list[i], heeded)
		}
	}
	return list
}

func refusalObstacle(r verdict.Reason) ObstacleReason {
	if r == verdict.ZoneOut {
		return ObstacleZoneOut
	}
	return ObstacleLeaving
}

func (s *Standing) add(reason ObstacleReason, leftOut bool, format string, args ...any) {
	s.Obstacles = append(s.Obstacles, Obstacle{Reason: reason, Detail: fmt.Sprintf(format, args...), LeftOut: leftOut})
}

// addObstacles adds what the attempts of this host and the zones say against a server.
func (o *LoadOrder) addObstacles(now time.Duration, v GroupView, s *Standing) {
	b := o.balancer
	if s.Primary {
		s.add(ObstaclePrimary, false, "reads go to the primary after the replicas")
	}
	backoff := b.backoffLeft(now, s.Candidate)
	switch {
	case !s.Primary && b.Lags(now, s.Candidate):
		s.add(ObstacleLag, true, "refused %d reads in a row as too stale; tried again in %v",
			b.health[newHealthKey(s.Candidate)].consecutiveStale, backoff.Round(time.Millisecond))
	case backoff > 0:
		s.add(ObstacleBackoff, false, "an attempt failed; tried after the others for %v", backoff.Round(time.Millisecond))
	}
	if v.Unreachable[s.Home.Name] {
		s.add(ObstacleHomeUnreachable, false, "host %s does not answer", s.Home.Name)
	}
	if s.Zone != v.OwnZone {
		s.add(ObstacleOtherZone, false, "in zone %s, this host is in %s", s.Zone, v.OwnZone)
	}
	if h := b.health[newHealthKey(s.Candidate)]; latencyClass(now, h) > 0 {
		s.add(ObstacleLatency, false, "recent reads of this host took %v, measured %v ago", h.latency.Round(100*time.Microsecond), (now - h.measuredAt).Round(time.Millisecond))
	}
}

// addLoadObstacles adds what the reported load says against a server. heeded reports
// whether ejections count.
func (o *LoadOrder) addLoadObstacles(now time.Duration, d ReadDemand, s *Standing, heeded bool) {
	e := o.estimate(now, s.Server, d.Priority)
	if e.ejected && !s.Primary {
		if heeded {
			s.add(ObstacleEjected, false, "ejected by its home host; placed after the primary")
		} else {
			s.add(ObstacleEjected, false, "ejected by its home host, but too few other replicas are left, so that it is ignored")
		}
	}
	if e.excluded > 0 {
		s.add(ObstaclePace, false, "paced to %d of %d slots: %.0f %% of the reads avoid it", s.Load.Pace, s.Load.Slots, 100*e.excluded)
	}
	if share, cause := e.spillShare(d.Budget); cause == SpillWait && share > 0 {
		s.add(ObstacleFull, false, "an answer is expected after %v (%v of it wait), the budget is %v: %.0f %% of the reads avoid it",
			e.response.Round(time.Millisecond), e.wait.Round(time.Millisecond), d.Budget, 100*share)
	}
}
