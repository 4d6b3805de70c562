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

// cluster is a Directory and a Dialer. Each host answers by its script.
type cluster struct {
	mu      sync.Mutex
	primary string
	term    uint64
	scripts map[string]func(*home)
	calls   []string
	ran     []string
}

// home is the far end of one Run stream.
type home struct {
	cluster *cluster
	server  *peer.PipeServer
	start   *peerpb.Start
}

func (h *home) send(m *peerpb.RunResponse) { _ = h.server.Send(m) }

// fail refuses or breaks the request.
func (h *home) fail(v verdict.Verdict, r verdict.Reason, other string) {
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: &peerpb.Failure{Verdict: uint32(v), Reason: string(r), Home: other}}})
}

// answer runs one frontend message and ends the stream.
func (h *home) answer() {
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{}}})
	m, err := h.server.Recv()
	if err != nil {
		return
	}
	h.cluster.mu.Lock()
	h.cluster.ran = append(h.cluster.ran, fmt.Sprintf("%s at %s", m.GetFrontend(), h.start.Server))
	h.cluster.mu.Unlock()
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: []byte("answer")}})
	h.send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: &peerpb.Ready{Status: 'I'}}})
}

func (c *cluster) Document() *config.Document {
	return &config.Document{
		Inventory: config.Inventory{Groups: []config.Group{{Name: "g", Servers: []config.Server{
			{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "b"}, {Name: "s3", Zone: "c"},
		}}}},
		Rules: config.Rules{Routes: []config.Route{{Name: "repeatable", Repeatable: true}, {Name: "once"}}},
	}
}

func (c *cluster) Primary(string) (string, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary, c.term, c.primary != ""
}

func (c *cluster) setPrimary(server string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary, c.term = server, term
}

func (c *cluster) Home(server string) (Host, bool) {
	return Host{Name: "h" + strings.TrimPrefix(server, "s")}, true
}
func (c *cluster) Host(name string) (Host, bool) { return Host{Name: name}, name != "" }
func (c *cluster) Reachable(string) bool         { return true }

func (c *cluster) Dial(ctx context.Context, host Host) (peer.RunStream, error) {
	c.mu.Lock()
	c.calls = append(c.calls, host.Name)
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
			script(&home{cluster: c, server: far, start: m.GetStart()})
		}
	}()
	return near, nil
}

// request opens a stream, sends one message and returns the answer, or the
// failure.
func request(c *cluster, counters *telemetry.Counters, start *peerpb.Start) (string, *verdict.Error) {
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
			return "", verdict.New(peer.Refusal(m.GetFailure()).Verdict, verdict.Reason(m.GetFailure().Reason), "")
		case m.GetBackend() != nil:
			return string(m.GetBackend()), nil
		}
	}
}

func read(route string) *peerpb.Start {
	return &peerpb.Start{Route: route, Intent: peerpb.Intent_INTENT_READ, StalenessUs: 1}
}

func answers(h *home) { h.answer() }

func fails(v verdict.Verdict, r verdict.Reason) func(*home) {
	return func(h *home) { h.fail(v, r, "") }
}

func reset(h *home) { _, _ = h.server.Recv() }

// Guards against a retry that the verdict forbids, a retry that is missed, and
// a verdict that is lost on the way.
func TestRetries(t *testing.T) {
	type scripts = map[string]func(*home)
	write := &peerpb.Start{Route: "once", Intent: peerpb.Intent_INTENT_WRITE}
	for _, x := range []struct {
		name    string
		start   *peerpb.Start
		scripts scripts
		calls   string
		ran     int
		state   string
		retried verdict.Reason
	}{
		{name: "own zone", start: read("once"), scripts: scripts{"h1": answers, "h2": answers, "h3": answers}, calls: "h2", ran: 1},
		{name: "not run", start: read("once"), scripts: scripts{"h2": fails(verdict.NotRun, verdict.QueueFull), "h3": answers}, calls: "h2 h3", ran: 1, retried: verdict.QueueFull},
		{name: "dial fails", start: read("once"), scripts: scripts{"h3": answers}, calls: "h2 h3", ran: 1, retried: verdict.HomeUnreachable},
		{
			name: "stale replicas", start: read("once"), calls: "h2 h3 h1", ran: 1, retried: verdict.NoFreshReplica,
			scripts: scripts{"h1": answers, "h2": fails(verdict.NotRun, verdict.NoFreshReplica), "h3": fails(verdict.NotRun, verdict.NoFreshReplica)},
		},
		{name: "repeatable read", start: read("repeatable"), scripts: scripts{"h2": reset, "h3": answers}, calls: "h2 h3", ran: 1, retried: verdict.ConnectionLost},
		{name: "read that may not be repeated", start: read("once"), scripts: scripts{"h2": reset, "h3": answers}, calls: "h2", state: "08007"},
		{name: "lost write", start: write, scripts: scripts{"h1": reset}, calls: "h1", state: "08007"},
		{name: "write with full queue", start: write, scripts: scripts{"h1": fails(verdict.NotRun, verdict.QueueFull)}, calls: "h1", state: "53300"},
		{name: "customer's own limit", start: read("once"), scripts: scripts{"h2": fails(verdict.NotRun, verdict.RateLimited)}, calls: "h2", state: "53400"},
		{
			name: "role moved", start: write, calls: "h1 h9", ran: 1, retried: verdict.WrongHome,
			scripts: scripts{"h1": func(h *home) { h.fail(verdict.NotRun, verdict.WrongHome, "h9") }, "h9": answers},
		},
		{
			name: "not run after may have run", start: &peerpb.Start{Route: "repeatable", Intent: peerpb.Intent_INTENT_READ, StalenessUs: 1, TimeoutUs: 100_000},
			scripts: scripts{"h2": reset, "h3": fails(verdict.NotRun, verdict.RateLimited)}, calls: "h2 h3", state: "08007",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := &cluster{primary: "s1", term: 1, scripts: x.scripts}
			counters := telemetry.NewCounters()
			got, refused := request(c, counters, x.start)
			if x.state == "" {
				assert.Assert(t, refused == nil, "%v", refused)
				assert.Equal(t, got, "answer")
			} else {
				assert.Assert(t, refused != nil)
				assert.Equal(t, refused.SQLState(), x.state)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			assert.Equal(t, strings.Join(c.calls, " "), x.calls)
			assert.Equal(t, len(c.ran), x.ran)
			if x.retried != "" {
				assert.Assert(t, counters.RetriedFor(x.retried) > 0)
			}
		})
	}
}

// Guards against writes that fail during a promotion although they were not sent,
// and against a wait beyond the caller's deadline.
func TestWriteWaitsForPrimary(t *testing.T) {
	c := &cluster{scripts: map[string]func(*home){"h2": answers}}
	time.AfterFunc(100*time.Millisecond, func() { c.setPrimary("s2", 2) })
	got, refused := request(c, nil, &peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE})
	assert.Assert(t, refused == nil, "%v", refused)
	assert.Equal(t, got, "answer")
	c.setPrimary("", 0)
	began := time.Now()
	_, refused = request(c, nil, &peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 200_000})
	assert.Assert(t, refused != nil && refused.Verdict == verdict.NotRun && refused.Reason == verdict.NoPrimary)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
}

// Guards against a deadlock when the home host answers before it has read the
// whole request.
func TestLargeRequestWithEarlyAnswer(t *testing.T) {
	const messages = 400
	c := &cluster{primary: "s1", term: 1, scripts: map[string]func(*home){"h1": func(h *home) {
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
