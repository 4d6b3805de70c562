package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/frontend"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// peerCalls makes the calls to other hosts and holds the state that peerAPI serves.
type peerCalls struct {
	directory *directory
	pool      *peer.Pool
	executor  *executor.Executor
	failover  *failover.Shell
	frontend  *frontend.Frontend
	counters  *telemetry.Counters
	// loads holds the newest known loads of backend servers.
	loads     *serverload.Table
	workers   pond.Pool
	followers map[string]*store.Follower

	connMonitor connMonitor
	// rng chooses the targets of heartbeats. Only runHeartbeats uses it.
	rng *rand.Rand
	// extraRounds requests a round of heartbeats before the next interval.
	extraRounds chan struct{}

	mu sync.Mutex
	// suspects holds the names of hosts to which a call has timed out. The next round
	// sends each of them a heartbeat.
	suspects map[string]bool
	// groupStates holds the newest state of each group that its owner has reported, for
	// other hosts.
	groupStates map[string]receivedState
}

// View implements frontend.Fleet.
func (c *peerCalls) View(group string) routing.GroupView { return c.directory.View(group) }

// Owner implements frontend.Fleet.
func (c *peerCalls) Owner(group string) (routing.Host, bool) { return c.directory.Owner(group) }

// Execute implements frontend.Fleet.
func (c *peerCalls) Execute(ctx context.Context, h routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	self := c.directory.self
	if h.Name == self.Name {
		// The caller always receives an answer of its own process, also one that is
		// late because the process was paused. The request's timeout bounds the call.
		resp := c.executor.Execute(context.WithoutCancel(ctx), req)
		if load := resp.GetLoad(); load != nil {
			c.recordLoad(c.directory.clock(), load)
		}
		return resp, nil
	}
	if !c.isReachable(h.Name) {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "no recent heartbeat from host %s", h.Name)
	}
	client, err := c.pool.Client(h.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, err)
	}
	var p grpcpeer.Peer
	sent := c.directory.clock()
	resp, err := client.Execute(ctx, req, grpc.Peer(&p))
	if err == nil {
		c.connMonitor.recordAnswer(h.Address, c.directory.clock())
		c.recordLoad(sent, resp.GetLoad())
		return resp, nil
	}
	overdue := status.Code(err) == codes.DeadlineExceeded
	if overdue {
		c.markSuspect(h.Name)
	}
	switch {
	case p.Addr == nil:
		// The call was never sent on a connection.
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, status.Convert(err).Message())
	case overdue:
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "host %s did not answer before the deadline", h.Name)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: %v", h.Name, status.Convert(err).Message())
}

// isReachable reports whether a request to the host would be sent at all.
func (c *peerCalls) isReachable(host string) bool {
	return host == c.directory.self.Name || c.directory.ownership.Alive(host)
}

// recordLoad records the load in a message that was requested at asOf. The load may be nil.
func (c *peerCalls) recordLoad(asOf time.Duration, load *peerpb.ServerLoad) {
	if load != nil {
		c.loads.Record(serverload.Decode(asOf, load))
	}
}

// markSuspect makes the next round of heartbeats include the host.
func (c *peerCalls) markSuspect(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host] = true
}

// Grant implements limit.Granter.
func (c *peerCalls) Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	client, err := c.pool.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Grant(ctx, req)
}

// statementCopies is the number of copies of a statement that its home host holds: in the
// request and in the output buffer of the connection to the backend server while it grows.
const statementCopies = 3

// peerAPI serves the calls of other hosts. The calls that belong to the
// PostgreSQL protocol stay unimplemented.
type peerAPI struct {
	peerpb.UnimplementedPeerServer
	calls   *peerCalls
	minters grantServer
	// usage is nil if usage is not reported.
	usage  *usage.Shell
	budget *budget.Budget
}

// grantServer serves requests for rate limit tokens.
type grantServer interface {
	Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error)
}

// reservedRequestBytes returns the memory that a request needs a reservation for. The end
// of an open transaction never does: if it was refused, the transaction would hold its
// connection and its locks until the idle limit.
func reservedRequestBytes(req *peerpb.ExecuteRequest) int {
	kind := statement.Kind(req.GetKind())
	if req.GetTransaction() != 0 && (kind == statement.Commit || kind == statement.Rollback) {
		return 0
	}
	if size := proto.Size(req); size > budget.SmallBytes {
		return statementCopies * size
	}
	return 0
}

func (a peerAPI) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	size := reservedRequestBytes(req)
	if size == 0 {
		return a.calls.executor.Execute(ctx, req), nil
	}
	lease := a.budget.Open(req.GetCustomer(), nil)
	defer lease.Close()
	if !lease.Reserve(budget.Statements, size) {
		e := verdict.New(verdict.NotRun, verdict.MemoryLimit, "the home host has no memory for a statement of this size; try again")
		return &peerpb.ExecuteResponse{Failure: peer.EncodeFailure(e)}, nil
	}
	return a.calls.executor.Execute(ctx, req), nil
}

func (a peerAPI) Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return a.minters.Grant(ctx, req)
}

// Explain describes how this host would route a request, without sending it.
func (a peerAPI) Explain(_ context.Context, req *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	e, err := a.calls.frontend.Explain(frontend.Query{
		Customer: req.GetCustomer(), Route: req.GetRoute(), Kind: req.GetKind(),
		Commit: statement.Position{Term: req.GetCommit().GetTerm(), Number: req.GetCommit().GetPosition()},
	})
	var unknown *frontend.QueryError
	switch {
	case errors.As(err, &unknown):
		return nil, status.Error(codes.NotFound, err.Error())
	case err != nil:
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	e.Host = a.calls.directory.self.Name
	a.calls.addUnreachable(e)
	data, err := json.Marshal(e)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.ExplainResponse{Json: data}, nil
}

// addUnreachable adds which home hosts would not be called. Attempts there fail at once,
// so that the next server is tried.
func (c *peerCalls) addUnreachable(e *frontend.Explanation) {
	for i := range e.Servers {
		s := &e.Servers[i]
		if s.Home != "" && !c.isReachable(s.Home) {
			s.Obstacles = append(s.Obstacles, routing.Obstacle{
				Reason: routing.ObstacleHomeUnreachable, Detail: "no recent heartbeat from host " + s.Home + "; an attempt fails at once",
			})
		}
	}
}
