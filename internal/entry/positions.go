package entry

import (
	"context"
	"sync"

	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// positionCoalescer fetches log positions of primaries for sessions without a token.
// For each positionKey at most one call is in flight; its result is returned to all
// sessions that were waiting when the call was made.
type positionCoalescer struct {
	source PositionSource
	ctx    context.Context
	spawn  func(func())
	mu     sync.Mutex
	queues map[positionKey]*positionQueue
}

type positionQueue struct {
	callInFlight bool
	waiters      []chan positionResult
}

type positionResult struct {
	token session.Token
	err   error
}

// newPositionCoalescer returns a positionCoalescer whose calls end with ctx and run
// in goroutines started by spawn.
func newPositionCoalescer(ctx context.Context, source PositionSource, spawn func(func())) *positionCoalescer {
	return &positionCoalescer{source: source, ctx: ctx, spawn: spawn, queues: make(map[positionKey]*positionQueue)}
}

// positionKey identifies the commits that a position covers: those of a customer in
// a group.
type positionKey struct{ group, customer string }

// get returns a log position of the group that covers every commit acknowledged to
// the customer before the call.
func (p *positionCoalescer) get(ctx context.Context, group, customer string) (session.Token, error) {
	if p.source == nil {
		return session.Token{}, noPositionError("no source of log positions is configured")
	}
	result := make(chan positionResult, 1)
	p.mu.Lock()
	key := positionKey{group, customer}
	q := p.queues[key]
	if q == nil {
		q = &positionQueue{}
		p.queues[key] = q
	}
	q.waiters = append(q.waiters, result)
	if !q.callInFlight {
		q.callInFlight = true
		p.spawn(func() { p.runCalls(key, q) })
	}
	p.mu.Unlock()
	select {
	case r := <-result:
		return r.token, r.err
	case <-ctx.Done():
		return session.Token{}, noPositionError("the primary's log position was not received in time")
	}
}

// runCalls makes calls until no session is waiting. A session that arrives during a
// call is served by the next one, because the position of the current call may not
// cover its commits.
func (p *positionCoalescer) runCalls(key positionKey, q *positionQueue) {
	for {
		p.mu.Lock()
		waiters := q.waiters
		q.waiters = nil
		if len(waiters) == 0 {
			q.callInFlight = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		r := p.fetch(key)
		for _, w := range waiters {
			w <- r
		}
	}
}

func (p *positionCoalescer) fetch(key positionKey) positionResult {
	ctx, cancel := context.WithTimeout(p.ctx, positionTimeout)
	defer cancel()
	t, err := p.source.Position(ctx, key.group, key.customer)
	if err != nil || t == nil {
		return positionResult{err: noPositionError("the primary's log position could not be determined")}
	}
	return positionResult{token: session.TokenFromProto(t)}
}

func noPositionError(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NoFreshReplica, "%s", message)
}
