package customer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause while the host's own zone has tokens. For requests that
// arrive while a grant request is outstanding, tokens must be requested from the
// own zone as soon as that grant request is answered.
func TestRequestsDuringGrantRequestNeedNoPause(t *testing.T) {
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		s := NewSpender("a", zones, Limit{Rate: 1000, Burst: 1000})
		now := time.Second
		first := singleRequestGrant(t, s.AddRequest(now, 1))
		for id := RequestID(2); id <= 50; id++ {
			assert.Equal(t, len(s.AddRequest(now, id)), 0)
			now += 100 * time.Microsecond
			actions := s.HandleGrant(now, first.Ticket, GrantID(id), first.Amount, 1000*OneRequest)
			assert.Equal(t, actions[0], Action(Admit{ID: id - 1}))
			first = singleRequestGrant(t, actions)
			assert.Equal(t, first.Zone, "a")
		}
	}
}

// Guards against grant requests in a tight loop while no zone has tokens: a round
// that obtains none must be followed by a pause.
func TestRoundWithoutTokensPauses(t *testing.T) {
	s := NewSpender("a", []string{"a", "b"}, Limit{Rate: 1000, Burst: 1000})
	now := time.Second
	request := singleRequestGrant(t, s.AddRequest(now, 1))
	request = singleRequestGrant(t, s.HandleGrant(now, request.Ticket, 0, 0, 0))
	assert.Equal(t, request.Zone, "b")
	assert.Equal(t, len(s.HandleGrant(now, request.Ticket, 0, 0, 0)), 0)
	at, ok := s.NextTick()
	assert.Assert(t, ok && at >= now+minRoundPause)
}

func singleRequestGrant(t *testing.T, actions []Action) RequestGrant {
	t.Helper()
	var requests []RequestGrant
	for _, a := range actions {
		if request, ok := a.(RequestGrant); ok {
			requests = append(requests, request)
		}
	}
	assert.Equal(t, len(requests), 1, "%v", actions)
	return requests[0]
}
