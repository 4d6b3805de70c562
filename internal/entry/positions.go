package entry

import (
	"context"
	"sync"

	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// positionCache answers sessions without a token. One call per group serves all
// sessions that were waiting before it was made.
type positionCache struct {
	source Positions
	ctx    context.Context
	spawn  func(func())
	mu     sync.Mutex
	queues map[positionKey]*positionQueue
}

type positionQueue struct {
	calling bool
	waiting []chan positionResult
}

type positionResult struct {
	token session.Token
	err   error
}

// newPositionCache returns a cache whose calls end with ctx and run in goroutines
// that spawn starts.
func newPositionCache(ctx context.Context, source Positions, spawn func(func())) *positionCache {
	return &positionCache{source: source, ctx: ctx, spawn: spawn, queues: make(map[positionKey]*positionQueue)}
}

// positionKey names what is asked: the commits of a customer in a group.
type positionKey struct{ group, customer string }

// get returns a position of the group that covers every commit acknowledged
// before the call.
func (p *positionCache) get(ctx context.Context, group, customer string) (session.Token, error) {
	if p.source == nil {
		return session.Token{}, noPosition("no source of positions")
	}
	answer := make(chan positionResult, 1)
	p.mu.Lock()
	key := positionKey{group, customer}
	q := p.queues[key]
	if q == nil {
		q = &positionQueue{}
		p.queues[key] = q
	}
	q.waiting = append(q.waiting, answer)
	if !q.calling {
		q.calling = true
		p.spawn(func() { p.serve(key, q) })
	}
	p.mu.Unlock()
	select {
	case r := <-answer:
		return r.token, r.err
	case <-ctx.Done():
		return session.Token{}, noPosition("the primary's position did not arrive in time")
	}
}

// serve makes calls until nobody waits. Sessions that come during a call are
// served by the next one.
func (p *positionCache) serve(key positionKey, q *positionQueue) {
	for {
		p.mu.Lock()
		waiting := q.waiting
		q.waiting = nil
		if len(waiting) == 0 {
			q.calling = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		r := p.call(key)
		for _, w := range waiting {
			w <- r
		}
	}
}

func (p *positionCache) call(key positionKey) positionResult {
	ctx, done := context.WithTimeout(p.ctx, positionTimeout)
	defer done()
	t, err := p.source.Position(ctx, key.group, key.customer)
	if err != nil || t == nil {
		return positionResult{err: noPosition("the primary's position is unknown")}
	}
	return positionResult{token: session.TokenFrom(t)}
}

func noPosition(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NoFreshReplica, "%s", message)
}
