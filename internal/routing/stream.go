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

// maxReplayBytes bounds the frontend bytes that are kept for a retry. Larger
// requests, such as copies, are not retried.
const maxReplayBytes = 256 << 10

// idleStatus is the transaction status after which the home host ends the
// stream.
const idleStatus = 'I'

// maxStaleReplicas is the number of replicas that may refuse a read as too
// stale before the read goes to the primary.
const maxStaleReplicas = 2

// stream is a Run stream that retries failed attempts until the caller has
// received part of the answer.
type stream struct {
	router     *Router
	ctx        context.Context
	start      *peerpb.Start
	deadline   time.Duration
	read       bool
	repeatable bool

	// The fields from triedServers to mayHaveRun are used by Open and after
	// that only by Recv. recvAttempt is the attempt that Recv reads from.
	triedServers  map[string]bool
	homeHints     map[string]Host
	rounds        int
	staleReplicas int
	recvAttempt   *attempt
	answerStarted bool
	// idleSeen is set after a Ready response with idleStatus.
	idleSeen bool
	// mayHaveRun is set after an attempt that ended with the verdict
	// MayHaveRun. From then on that verdict holds for the whole request.
	mayHaveRun bool

	// sendMu serialises the sends of the caller and of a replay. It may be held
	// while a send blocks; mu is never held then, so that answers are always
	// read.
	sendMu sync.Mutex

	mu sync.Mutex
	// sendAttempt is the attempt that Send writes to, nil while there is none.
	sendAttempt *attempt
	// replay holds the frontend messages of the request. replayDiscarded is set
	// when they are no longer complete.
	replay          []*peerpb.RunRequest
	replaySize      int
	replayDiscarded bool
	sendClosed      bool
	cancelRequested bool
}

// attempt is one attempt to run the request at one home host.
type attempt struct {
	candidate Candidate
	stream    peer.RunStream
	cancel    context.CancelFunc
	startedAt time.Duration
	accepted  bool
	// frontendSent is set when a frontend byte may have been sent. It is
	// guarded by stream.mu.
	frontendSent bool
}

// Send implements peer.RunStream.
func (s *stream) Send(m *peerpb.RunRequest) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.mu.Lock()
	a := s.sendAttempt
	switch k := m.Kind.(type) {
	case *peerpb.RunRequest_Cancel:
		s.cancelRequested = true
	case *peerpb.RunRequest_Frontend:
		s.saveForReplay(m, len(k.Frontend))
		if a != nil {
			a.frontendSent = true
		}
	}
	s.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.stream.Send(m)
}

// saveForReplay keeps a frontend message for a retry, up to maxReplayBytes in
// all.
func (s *stream) saveForReplay(m *peerpb.RunRequest, size int) {
	if s.replayDiscarded {
		return
	}
	if s.replaySize += size; s.replaySize > maxReplayBytes {
		s.replay, s.replayDiscarded = nil, true
		return
	}
	s.replay = append(s.replay, m)
}

// CloseSend implements peer.RunStream.
func (s *stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.mu.Lock()
	s.sendClosed = true
	a := s.sendAttempt
	s.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.stream.CloseSend()
}

// Recv implements peer.RunStream.
func (s *stream) Recv() (*peerpb.RunResponse, error) {
	for {
		m, err := s.recvAttempt.stream.Recv()
		if err == nil {
			f := m.GetFailure()
			if f == nil {
				s.recordResponse(m)
				return m, nil
			}
			refusal := peer.DecodeFailure(f)
			if result := s.retry(refusal, f.Home); result != nil {
				return failureResponse(result), nil
			}
			continue
		}
		if s.answerStarted || s.ctx.Err() != nil {
			if !s.idleSeen && s.ctx.Err() == nil {
				s.router.recordFailure(s.recvAttempt.candidate, verdict.ConnectionLost)
			}
			return nil, err
		}
		if result := s.retry(s.lostAttemptError(), ""); result != nil {
			return failureResponse(result), nil
		}
	}
}

func failureResponse(e *verdict.Error) *peerpb.RunResponse {
	return &peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: peer.EncodeFailure(e)}}
}

// lostAttemptError returns the error for an attempt whose stream broke. The
// request did not run if no frontend byte was sent.
func (s *stream) lostAttemptError() *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recvAttempt.frontendSent {
		return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "the home host did not answer")
	}
	return verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "the connection to the home host was lost")
}

// recordResponse records the outcome of the attempt for routing. From the first
// response other than Accepted on, the request can no longer be retried.
func (s *stream) recordResponse(m *peerpb.RunResponse) {
	a := s.recvAttempt
	if !a.accepted {
		a.accepted = true
		s.router.recordSuccess(a.candidate, s.router.now()-a.startedAt)
		if s.read {
			s.router.opts.Counters.Add(readCounterName(a.candidate), 1)
		}
	}
	if r := m.GetReady(); r != nil && r.Status == uint32(idleStatus) {
		s.idleSeen = true
	}
	if m.GetAccepted() != nil || s.answerStarted {
		return
	}
	s.answerStarted = true
	s.mu.Lock()
	s.replay, s.replayDiscarded = nil, true
	s.mu.Unlock()
}

func readCounterName(c Candidate) string {
	if c.Primary {
		return "reads_primary"
	}
	return "reads_replica"
}

// retry starts another attempt after a failure, or returns the error to report
// to the caller.
func (s *stream) retry(refusal *verdict.Error, home string) *verdict.Error {
	// Cancel the attempt first, so that a blocked send returns and releases sendMu.
	s.recvAttempt.cancel()
	s.mu.Lock()
	s.sendAttempt = nil
	retryForbidden := s.replayDiscarded || s.cancelRequested || s.sendClosed
	s.mu.Unlock()
	s.router.recordFailure(s.recvAttempt.candidate, refusal.Reason)
	if refusal.Verdict == verdict.MayHaveRun {
		s.mayHaveRun = true
	}
	if retryForbidden || s.answerStarted || !refusal.Retryable(s.repeatable, s.answerStarted) || !isRetryable(refusal.Reason, s.read) {
		return s.withRequestVerdict(refusal)
	}
	// Refusals by stale replicas need no retry budget: maxStaleReplicas bounds them.
	for refusal.Reason != verdict.NoFreshReplica && !s.router.takeRetry() {
		if !s.sleepWithinDeadline(backoffMax) {
			return s.withRequestVerdict(refusal)
		}
	}
	s.router.opts.Counters.CountRetry(refusal.Reason)
	s.excludeFailed(refusal, home)
	return s.withRequestVerdict(s.connect(refusal))
}

// withRequestVerdict returns the refusal with the verdict of the whole request:
// MayHaveRun if any attempt may have run.
func (s *stream) withRequestVerdict(refusal *verdict.Error) *verdict.Error {
	if refusal == nil || !s.mayHaveRun || refusal.Verdict == verdict.MayHaveRun {
		return refusal
	}
	return verdict.New(verdict.MayHaveRun, refusal.Reason, "%s", refusal.Message)
}

// excludeFailed excludes the server of the failed attempt from the next
// choices. If the refusal names the current home host of that server, the
// server is tried again there.
func (s *stream) excludeFailed(refusal *verdict.Error, home string) {
	if s.triedServers == nil {
		s.triedServers = make(map[string]bool)
		s.homeHints = make(map[string]Host)
	}
	server := s.recvAttempt.candidate.Server
	s.triedServers[server] = true
	delete(s.homeHints, server)
	switch refusal.Reason {
	case verdict.NoFreshReplica:
		s.staleReplicas++
	case verdict.WrongHome:
		if h, ok := s.router.opts.Directory.Host(home); ok {
			s.homeHints[server] = h
			delete(s.triedServers, server)
		}
	}
}

// connect makes attempts until one is open. If the deadline passes first, it
// returns the last refusal.
func (s *stream) connect(lastRefusal *verdict.Error) *verdict.Error {
	for {
		if s.isCancelRequested() {
			return verdict.New(verdict.NotRun, verdict.Cancelled, "canceling statement due to user request")
		}
		c, wait, refusal := s.router.chooseCandidate(s)
		if refusal == nil {
			if refusal = s.openAttempt(c); refusal == nil {
				return nil
			}
			s.router.recordFailure(c, refusal.Reason)
			s.recvAttempt = &attempt{candidate: c}
			s.excludeFailed(refusal, "")
			s.router.opts.Counters.CountRetry(refusal.Reason)
			if !s.router.takeRetry() {
				wait = backoffMax
			}
		}
		if lastRefusal == nil || refusal.Reason != verdict.NoFreshReplica {
			lastRefusal = refusal
		}
		if !s.sleepWithinDeadline(wait) {
			return lastRefusal
		}
	}
}

func (s *stream) isCancelRequested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelRequested
}

// sleepWithinDeadline waits for d. It returns false if the wait would pass the
// deadline or if the context of the caller has ended.
func (s *stream) sleepWithinDeadline(d time.Duration) bool {
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

// openAttempt opens an attempt at the candidate and replays what the caller has
// already sent.
func (s *stream) openAttempt(c Candidate) *verdict.Error {
	ctx, cancel := context.WithCancel(s.ctx)
	startedAt := s.router.now()
	conn, err := s.router.opts.Dialer.Dial(ctx, c.Home)
	if err == nil {
		start := proto.Clone(s.start).(*peerpb.Start)
		start.Server = c.Server
		start.TimeoutUs = max(1, (s.deadline - startedAt).Microseconds())
		err = conn.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: start}})
	}
	if err != nil {
		cancel()
		if refusal, ok := asRefusal(err); ok {
			return refusal
		}
		return verdict.New(verdict.NotRun, verdict.HomeUnreachable, "home host %q of server %q cannot be reached", c.Home.Name, c.Server)
	}
	a := &attempt{candidate: c, stream: conn, cancel: cancel, startedAt: startedAt}
	s.replayTo(a)
	s.recvAttempt = a
	return nil
}

// replayTo sends what the caller has sent so far to a and makes a the attempt
// to send to.
func (s *stream) replayTo(a *attempt) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	// A home host that does not read must not delay the request beyond its
	// deadline.
	deadlineTimer := time.AfterFunc(s.deadline-s.router.now(), a.cancel)
	defer deadlineTimer.Stop()
	s.mu.Lock()
	replay, closed := s.replay, s.sendClosed
	a.frontendSent = len(replay) > 0
	s.mu.Unlock()
	for _, m := range replay {
		_ = a.stream.Send(m)
	}
	if closed {
		_ = a.stream.CloseSend()
	}
	s.mu.Lock()
	s.sendAttempt = a
	s.mu.Unlock()
}
