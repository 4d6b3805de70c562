package routing

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// fakeCluster implements Directory and Dialer. Each host answers with the
// script under its name; a host without a script refuses connections.
type fakeCluster struct {
	mu       sync.Mutex
	primary  string
	term     uint64
	scripts  map[string]func(*fakeHomeHost)
	dials    []string
	executed []string
}

// fakeHomeHost is the server side of one Run stream.
type fakeHomeHost struct {
	cluster *fakeCluster
	server  *peer.PipeServer
	start   *peerpb.Start
}

func (h *fakeHomeHost) send(m *peerpb.RunResponse) { _ = h.server.Send(m) }

// fail ends the request with a failure that names other as the current home
// host.
func (h *fakeHomeHost) fail(v verdict.Verdict, r verdict.Reason, other string) {
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: &peerpb.Failure{Verdict: uint32(v), Reason: string(r), Home: other}}})
}

// answerOne accepts the request, executes one frontend message and ends the
// stream.
func (h *fakeHomeHost) answerOne() {
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{}}})
	m, err := h.server.Recv()
	if err != nil {
		return
	}
	h.cluster.mu.Lock()
	h.cluster.executed = append(h.cluster.executed, fmt.Sprintf("%s at %s", m.GetFrontend(), h.start.Server))
	h.cluster.mu.Unlock()
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: []byte("answer")}})
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: &peerpb.Ready{Status: 'I'}}})
}

func (c *fakeCluster) Document() *config.Document {
	return &config.Document{
		Inventory: config.Inventory{Groups: []config.Group{{Name: "g", Servers: []config.Server{
			{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "b"}, {Name: "s3", Zone: "c"},
		}}}},
		Rules: config.Rules{Routes: []config.Route{{Name: "repeatable", Repeatable: true}, {Name: "once"}}},
	}
}

func (c *fakeCluster) Primary(string) (string, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary, c.term, c.primary != ""
}

func (c *fakeCluster) setPrimary(server string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary, c.term = server, term
}

func (c *fakeCluster) Home(server string) (Host, bool) {
	return Host{Name: "h" + strings.TrimPrefix(server, "s")}, true
}
func (c *fakeCluster) Host(name string) (Host, bool) { return Host{Name: name}, name != "" }
func (c *fakeCluster) Reachable(string) bool         { return true }

func (c *fakeCluster) Dial(ctx context.Context, host Host) (peer.RunStream, error) {
	c.mu.Lock()
	c.dials = append(c.dials, host.Name)
	script := c.scripts[host.Name]
	c.mu.Unlock()
	if script == nil {
		return nil, errors.New("connection refused")
	}
	near, far := peer.Pipe(ctx)
	go func() {
		defer far.Finish()
		m, err := far.Recv()
		if err == nil {
			script(&fakeHomeHost{cluster: c, server: far, start: m.GetStart()})
		}
	}()
	return near, nil
}

// sendRequest opens a stream, sends one frontend message and returns the answer
// or the failure.
func sendRequest(c *fakeCluster, counters *telemetry.Counters, start *peerpb.Start) (string, *verdict.Error) {
	r := New(Options{Zone: "b", Directory: c, Dialer: c, Counters: counters, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start.Group = "g"
	if start.TimeoutUs == 0 {
		start.TimeoutUs = time.Second.Microseconds()
	}
	s, err := r.Open(ctx, start)
	if err != nil {
		return "", verdict.From(err)
	}
	_ = s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: []byte("statement")}})
	for {
		m, err := s.Recv()
		switch {
		case err != nil:
			return "", verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "%v", err)
		case m.GetFailure() != nil:
			return "", verdict.New(peer.DecodeFailure(m.GetFailure()).Verdict, verdict.Reason(m.GetFailure().Reason), "")
		case m.GetBackend() != nil:
			return string(m.GetBackend()), nil
		}
	}
}

func readStart(route string) *peerpb.Start {
	return &peerpb.Start{Route: route, Intent: peerpb.Intent_INTENT_READ, StalenessUs: 1}
}

func answerScript(h *fakeHomeHost) { h.answerOne() }

func failScript(v verdict.Verdict, r verdict.Reason) func(*fakeHomeHost) {
	return func(h *fakeHomeHost) { h.fail(v, r, "") }
}

func disconnectScript(h *fakeHomeHost) { _, _ = h.server.Recv() }

// Guards against a retry that the verdict forbids, a retry that does not
// happen, and a verdict that does not reach the caller.
func TestRetryFollowsVerdict(t *testing.T) {
	type scripts = map[string]func(*fakeHomeHost)
	write := &peerpb.Start{Route: "once", Intent: peerpb.Intent_INTENT_WRITE}
	for _, test := range []struct {
		name    string
		start   *peerpb.Start
		scripts scripts
		calls   string
		ran     int
		state   string
		retried verdict.Reason
	}{
		{name: "own zone", start: readStart("once"), scripts: scripts{"h1": answerScript, "h2": answerScript, "h3": answerScript}, calls: "h2", ran: 1},
		{name: "not run", start: readStart("once"), scripts: scripts{"h2": failScript(verdict.NotRun, verdict.QueueFull), "h3": answerScript}, calls: "h2 h3", ran: 1, retried: verdict.QueueFull},
		{name: "dial fails", start: readStart("once"), scripts: scripts{"h3": answerScript}, calls: "h2 h3", ran: 1, retried: verdict.HomeUnreachable},
		{
			name: "stale replicas", start: readStart("once"), calls: "h2 h3 h1", ran: 1, retried: verdict.NoFreshReplica,
			scripts: scripts{"h1": answerScript, "h2": failScript(verdict.NotRun, verdict.NoFreshReplica), "h3": failScript(verdict.NotRun, verdict.NoFreshReplica)},
		},
		{name: "repeatable read", start: readStart("repeatable"), scripts: scripts{"h2": disconnectScript, "h3": answerScript}, calls: "h2 h3", ran: 1, retried: verdict.ConnectionLost},
		{name: "read that may not be repeated", start: readStart("once"), scripts: scripts{"h2": disconnectScript, "h3": answerScript}, calls: "h2", state: "08007"},
		{name: "lost write", start: write, scripts: scripts{"h1": disconnectScript}, calls: "h1", state: "08007"},
		{name: "write with full queue", start: write, scripts: scripts{"h1": failScript(verdict.NotRun, verdict.QueueFull)}, calls: "h1", state: "53300"},
		{name: "customer's own limit", start: readStart("once"), scripts: scripts{"h2": failScript(verdict.NotRun, verdict.RateLimited)}, calls: "h2", state: "53400"},
		{
			name: "role moved", start: write, calls: "h1 h9", ran: 1, retried: verdict.WrongHome,
			scripts: scripts{"h1": func(h *fakeHomeHost) { h.fail(verdict.NotRun, verdict.WrongHome, "h9") }, "h9": answerScript},
		},
		{
			name: "not run after may have run", start: &peerpb.Start{Route: "repeatable", Intent: peerpb.Intent_INTENT_READ, StalenessUs: 1, TimeoutUs: 100_000},
			scripts: scripts{"h2": disconnectScript, "h3": failScript(verdict.NotRun, verdict.RateLimited)}, calls: "h2 h3", state: "08007",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &fakeCluster{primary: "s1", term: 1, scripts: test.scripts}
			counters := telemetry.NewCounters()
			got, refusal := sendRequest(c, counters, test.start)
			if test.state == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, got, "answer")
			} else {
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.SQLState(), test.state)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			assert.Equal(t, strings.Join(c.dials, " "), test.calls)
			assert.Equal(t, len(c.executed), test.ran)
			if test.retried != "" {
				assert.Assert(t, counters.Retries(test.retried) > 0)
			}
		})
	}
}

// Guards against writes that fail during a promotion although they were not
// sent to any server, and against a wait beyond the caller's deadline.
func TestWriteWaitsForPrimary(t *testing.T) {
	c := &fakeCluster{scripts: map[string]func(*fakeHomeHost){"h2": answerScript}}
	time.AfterFunc(100*time.Millisecond, func() { c.setPrimary("s2", 2) })
	got, refusal := sendRequest(c, nil, &peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE})
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, got, "answer")
	c.setPrimary("", 0)
	began := time.Now()
	_, refusal = sendRequest(c, nil, &peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 200_000})
	assert.Assert(t, refusal != nil && refusal.Verdict == verdict.NotRun && refusal.Reason == verdict.NoPrimary)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
}

// Guards against a deadlock when the home host sends answers before it has read
// the whole request: a blocked send must not keep answers from being read.
func TestEarlyAnswerToLargeRequestDoesNotDeadlock(t *testing.T) {
	const messages = 400
	c := &fakeCluster{primary: "s1", term: 1, scripts: map[string]func(*fakeHomeHost){"h1": func(h *fakeHomeHost) {
		for range messages {
			h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: []byte("x")}})
			_, _ = h.server.Recv()
		}
		h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: &peerpb.Ready{Status: 'I'}}})
	}}}
	r := New(Options{Directory: c, Dialer: c})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := r.Open(ctx, &peerpb.Start{Group: "g", Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 5_000_000})
	assert.NilError(t, err)
	go func() {
		for range messages {
			_ = s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: make([]byte, 4096)}})
		}
	}()
	for range messages + 1 {
		_, err := s.Recv()
		assert.NilError(t, err)
	}
}
