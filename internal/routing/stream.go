package routing

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// replayBytes bounds the frontend bytes kept for a retry. Larger requests, such
// as copies, are not retried.
const replayBytes = 256 << 10

// idle is the transaction status after which the home host ends the stream.
const idle = 'I'

// maxStaleReplicas is the number of replicas that may turn a read down as too
// stale before it goes to the primary.
const maxStaleReplicas = 2

// stream is a Run stream that survives failed attempts until the caller has seen
// a part of the answer.
type stream struct {
	router     *Router
	ctx        context.Context
	start      *peerpb.Start
	deadline   time.Duration
	read       bool
	repeatable bool

	// Used by Open and then by Recv only.
	tried    map[string]bool
	hints    map[string]Host
	rounds   int
	stale    int
	attempt  *attempt
	answered bool
	finished bool
	// mayHaveRun is set after an attempt with that verdict. It then holds for
	// the whole request.
	mayHaveRun bool

	// sendMu serialises the sends of the caller and of a replay. It is held
	// while a send blocks, mu never is, so that answers are always read.
	sendMu sync.Mutex

	mu      sync.Mutex
	current *attempt
	// replay holds the frontend bytes of the request. unrepeated is set when they
	// are no longer complete.
	replay      []*peerpb.RunRequest
	replaySize  int
	unrepeated  bool
	closed      bool
	cancelAsked bool
}

// attempt is one try at one home host.
type attempt struct {
	candidate Candidate
	stream    peer.RunStream
	cancel    context.CancelFunc
	began     time.Duration
	accepted  bool
	// sent is set when a frontend byte may have left. Under stream.mu.
	sent bool
}

// Send implements peer.RunStream.
func (s *stream) Send(m *peerpb.RunRequest) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.mu.Lock()
	a := s.current
	switch k := m.Kind.(type) {
	case *peerpb.RunRequest_Cancel:
		s.cancelAsked = true
	case *peerpb.RunRequest_Frontend:
		s.keep(m, len(k.Frontend))
		if a != nil {
			a.sent = true
		}
	}
	s.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.stream.Send(m)
}

// keep remembers a request for a retry.
func (s *stream) keep(m *peerpb.RunRequest, size int) {
	if s.unrepeated {
		return
	}
	if s.replaySize += size; s.replaySize > replayBytes {
		s.replay, s.unrepeated = nil, true
		return
	}
	s.replay = append(s.replay, m)
}

// CloseSend implements peer.RunStream.
func (s *stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.mu.Lock()
	s.closed = true
	a := s.current
	s.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.stream.CloseSend()
}

// Recv implements peer.RunStream.
func (s *stream) Recv() (*peerpb.RunResponse, error) {
	for {
		m, err := s.attempt.stream.Recv()
		if err == nil {
			f := m.GetFailure()
			if f == nil {
				s.note(m)
				return m, nil
			}
			refused := peer.Refusal(f)
			if again := s.again(refused, f.Home); again != nil {
				return failure(again), nil
			}
			continue
		}
		if s.answered || s.ctx.Err() != nil {
			if !s.finished && s.ctx.Err() == nil {
				s.router.failed(s.attempt.candidate, verdict.ConnectionLost)
			}
			return nil, err
		}
		if again := s.again(s.lost(), ""); again != nil {
			return failure(again), nil
		}
	}
}

func failure(e *verdict.Error) *peerpb.RunResponse {
	return &peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: peer.Failure(e)}}
}

// lost returns the error for an attempt whose stream broke.
func (s *stream) lost() *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attempt.sent {
		return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "the home host did not answer")
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "the connection to the home host was lost")
}

// note updates the board and ends the time in which the request can be repeated.
func (s *stream) note(m *peerpb.RunResponse) {
	a := s.attempt
	if !a.accepted {
		a.accepted = true
		s.router.succeeded(a.candidate, s.router.now()-a.began)
		if s.read {
			s.router.opts.Counters.Add(readCounter(a.candidate), 1)
		}
	}
	if r := m.GetReady(); r != nil && r.Status == uint32(idle) {
		s.finished = true
	}
	if m.GetAccepted() != nil || s.answered {
		return
	}
	s.answered = true
	s.mu.Lock()
	s.replay, s.unrepeated = nil, true
	s.mu.Unlock()
}

func readCounter(c Candidate) string {
	if c.Primary {
		return "reads_primary"
	}
	return "reads_replica"
}

// again makes another attempt after a failure, or returns the error to report.
func (s *stream) again(refused *verdict.Error, home string) *verdict.Error {
	// A send that blocks holds sendMu and returns now.
	s.attempt.cancel()
	s.mu.Lock()
	s.current = nil
	final := s.unrepeated || s.cancelAsked || s.closed
	s.mu.Unlock()
	s.router.failed(s.attempt.candidate, refused.Reason)
	if refused.Verdict == verdict.MayHaveRun {
		s.mayHaveRun = true
	}
	if final || s.answered || !refused.Retryable(s.repeatable, s.answered) || !retryable(refused.Reason, s.read) {
		return s.report(refused)
	}
	// The number of replicas that are too stale is bounded by itself.
	for refused.Reason != verdict.NoFreshReplica && !s.router.takeRetry() {
		if !s.sleep(coolMax) {
			return s.report(refused)
		}
	}
	s.router.opts.Counters.Retried(refused.Reason)
	s.exclude(refused, home)
	return s.report(s.connect(refused))
}

// report returns the refusal with the verdict of the whole request.
func (s *stream) report(refused *verdict.Error) *verdict.Error {
	if refused == nil || !s.mayHaveRun || refused.Verdict == verdict.MayHaveRun {
		return refused
	}
	return verdict.New(verdict.MayHaveRun, refused.Reason, "%s", refused.Message)
}

// exclude notes what a failed attempt says about the next one.
func (s *stream) exclude(refused *verdict.Error, home string) {
	if s.tried == nil {
		s.tried = make(map[string]bool)
		s.hints = make(map[string]Host)
	}
	server := s.attempt.candidate.Server
	s.tried[server] = true
	delete(s.hints, server)
	switch refused.Reason {
	case verdict.NoFreshReplica:
		s.stale++
	case verdict.WrongHome:
		if h, ok := s.router.opts.Directory.Host(home); ok {
			s.hints[server] = h
			delete(s.tried, server)
		}
	}
}

// connect makes attempts until one is open. It returns the last refusal when the
// deadline passes first.
func (s *stream) connect(last *verdict.Error) *verdict.Error {
	for {
		if s.cancelled() {
			return verdict.New(verdict.NotRun, verdict.Cancelled, "canceling statement due to user request")
		}
		c, wait, refused := s.router.choose(s)
		if refused == nil {
			if refused = s.dial(c); refused == nil {
				return nil
			}
			s.router.failed(c, refused.Reason)
			s.attempt = &attempt{candidate: c}
			s.exclude(refused, "")
			s.router.opts.Counters.Retried(refused.Reason)
			if !s.router.takeRetry() {
				wait = coolMax
			}
		}
		if last == nil || refused.Reason != verdict.NoFreshReplica {
			last = refused
		}
		if !s.sleep(wait) {
			return last
		}
	}
}

func (s *stream) cancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelAsked
}

// sleep waits, and reports false when the deadline would pass or the caller is
// gone.
func (s *stream) sleep(d time.Duration) bool {
	if s.ctx.Err() != nil || s.router.now()+d >= s.deadline {
		return false
	}
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// dial opens an attempt and repeats what was sent before.
func (s *stream) dial(c Candidate) *verdict.Error {
	ctx, cancel := context.WithCancel(s.ctx)
	began := s.router.now()
	conn, err := s.router.opts.Dialer.Dial(ctx, c.Home)
	if err == nil {
		start := proto.Clone(s.start).(*peerpb.Start)
		start.Server = c.Server
		start.TimeoutUs = max(1, (s.deadline - began).Microseconds())
		err = conn.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: start}})
	}
	if err != nil {
		cancel()
		if refused, ok := asRefusal(err); ok {
			return refused
		}
		return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "home host %q of server %q cannot be reached", c.Home.Name, c.Server)
	}
	a := &attempt{candidate: c, stream: conn, cancel: cancel, began: began}
	s.replayTo(a)
	s.attempt = a
	return nil
}

// replayTo sends what the caller has sent so far and makes a the current attempt.
func (s *stream) replayTo(a *attempt) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	// A home host that reads nothing must not hold the request beyond its
	// deadline.
	guard := time.AfterFunc(s.deadline-s.router.now(), a.cancel)
	defer guard.Stop()
	s.mu.Lock()
	replay, closed := s.replay, s.closed
	a.sent = len(replay) > 0
	s.mu.Unlock()
	for _, m := range replay {
		_ = a.stream.Send(m)
	}
	if closed {
		_ = a.stream.CloseSend()
	}
	s.mu.Lock()
	s.current = a
	s.mu.Unlock()
}
