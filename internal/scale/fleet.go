package scale

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Simulated time of the fleet measurement.
const (
	startTime = 4 * time.Second
	// settleTime lets 490 hosts finish the claims of their roles. After 3 s, they
	// still wrote 407 rows a second, after 6 s 215.
	settleTime = 7 * time.Second
	// simulationGC is the garbage collection target of the simulation. The
	// default doubles its length.
	simulationGC = 400
)

// fleetSeries measures heartbeats, store calls and memory of the fleet aggregate.
func fleetSeries(ctx context.Context, o Options) ([]Series, error) {
	names := []struct{ name, unit string }{
		{"exchange_bytes", "B/exchange"},
		{"exchange_cpu", "us/exchange, both ends"},
		{"exchanges_sent", "1/s/host"},
		{"fleet_cpu", "% of a core/host"},
		{"fleet_memory", "B/host"},
		{"store_reads", "1/s, whole fleet"},
		{"store_writes", "1/s, whole fleet"},
	}
	// The models use one core each; memory and calls are measured one by one.
	models := make([]*simulation, len(o.Hosts))
	target := debug.SetGCPercent(simulationGC)
	var g errgroup.Group
	for i, hosts := range o.Hosts {
		g.Go(func() (err error) {
			models[i], err = simulate(o, hosts)
			return err
		})
	}
	err := g.Wait()
	debug.SetGCPercent(target)
	if err != nil {
		return nil, err
	}
	points := make([][]Point, len(names))
	for i, hosts := range o.Hosts {
		s := models[i]
		bytes, cpu, err := exchangeCost(ctx, s.model.request, s.model.response, o.Calls)
		if err != nil {
			return nil, err
		}
		for j, v := range []float64{bytes, cpu, s.exchanges, s.cpu, s.model.memory(), s.reads, s.writes} {
			points[j] = append(points[j], Point{float64(hosts), v})
		}
		models[i] = nil
	}
	var out []Series
	for i, n := range names {
		out = append(out, fitted(n.name, n.unit, "host", points[i]))
	}
	return out, nil
}

// simulation is a model that has run, and its rates.
type simulation struct {
	model *model
	// exchanges are per second and host, cpu is in percent of a core per host.
	exchanges, cpu float64
	// reads and writes are per second of the whole fleet.
	reads, writes float64
}

func simulate(o Options, hosts int) (*simulation, error) {
	doc := sized(hosts)
	data, err := config.Encode(doc)
	if err != nil {
		return nil, err
	}
	m := newModel(doc, o.Seed)
	m.advance(startTime)
	if err := m.publish(data); err != nil {
		return nil, err
	}
	m.advance(settleTime)
	m.reads, m.writes, m.exchanges, m.cpu = 0, 0, 0, 0
	simulated := o.Simulated
	if hosts > o.LargeFleet {
		simulated = o.SimulatedLarge
	}
	m.advance(simulated)
	perSecond := func(n int) float64 { return float64(n) / simulated.Seconds() }
	return &simulation{
		model: m, exchanges: perSecond(m.exchanges) / float64(hosts), cpu: m.cpu.Seconds() / simulated.Seconds() / float64(hosts) * 100,
		reads: perSecond(m.reads), writes: perSecond(m.writes),
	}, nil
}

// memory returns the memory of one aggregate without the document. The names of
// the hosts are shared between the hosts of the model and count only once.
func (m *model) memory() float64 {
	m.events = nil
	n := min(len(m.hosts)-1, 16)
	before := memoryInUse()
	for _, h := range m.hosts[:n] {
		h.f = nil
	}
	return (before - memoryInUse()) / float64(n)
}

type exchangeServer struct {
	peerpb.UnimplementedPeerServer
	answer *peerpb.Vector
}

// Exchange implements peerpb.PeerServer.
func (s exchangeServer) Exchange(context.Context, *peerpb.Vector) (*peerpb.Vector, error) {
	return s.answer, nil
}

// exchangeCost returns the bytes above TCP, in both directions, and the processor
// time in microseconds, of client and server together, of one exchange over
// the connection pool between hosts.
func exchangeCost(ctx context.Context, request, response *peerpb.Vector, calls int) (bytes, micros float64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, errors.Wrap(err, "listen")
	}
	srv := grpc.NewServer(peer.ServerOptions(nil)...)
	peerpb.RegisterPeerServer(srv, exchangeServer{answer: response})
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	count := &counter{}
	pool := peer.NewPool(nil, func(ctx context.Context, a string) (net.Conn, error) { return count.dial(ctx, "tcp", a) })
	defer pool.Close()
	client, err := pool.Client(l.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	call := func(n int) func() error {
		return func() error {
			for range n {
				if _, err := client.Exchange(ctx, request); err != nil {
					return errors.Wrap(err, "exchange")
				}
			}
			return nil
		}
	}
	// The first calls open the connection and settle its header compression.
	if err := call(20)(); err != nil {
		return 0, 0, err
	}
	before := count.bytes.Load()
	cpu, err := measureCPU(call(calls))
	n := float64(calls)
	return float64(count.bytes.Load()-before) / n, float64(cpu.Nanoseconds()) / 1e3 / n, err
}
