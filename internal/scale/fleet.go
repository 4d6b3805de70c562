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

const (
	// startupTime is the simulated time before the first publication.
	startupTime = 4 * time.Second
	// settleTime is the simulated time in which 490 hosts finish claiming their
	// roles. The fleet still wrote 407 rows per second after 3 s, and 215 after 6 s.
	settleTime = 7 * time.Second
	// simulationGCPercent is the garbage collection target during the simulation.
	// With the default target, the simulation takes twice as long.
	simulationGCPercent = 400
)

// fleetSeries measures the heartbeat exchanges, store calls, processor time and
// memory of the fleet aggregate.
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
	// Each simulation uses one core, so that they run in parallel. Memory and call
	// costs are figures of the whole process and are measured sequentially.
	simulations := make([]*simulation, len(o.Hosts))
	previousGCPercent := debug.SetGCPercent(simulationGCPercent)
	var g errgroup.Group
	for i, hosts := range o.Hosts {
		g.Go(func() (err error) {
			simulations[i], err = simulate(o, hosts)
			return err
		})
	}
	err := g.Wait()
	debug.SetGCPercent(previousGCPercent)
	if err != nil {
		return nil, err
	}
	points := make([][]Point, len(names))
	for i, hosts := range o.Hosts {
		s := simulations[i]
		bytes, cpu, err := exchangeCost(ctx, s.model.lastRequest, s.model.lastResponse, o.CallsPerMeasurement)
		if err != nil {
			return nil, err
		}
		for j, v := range []float64{bytes, cpu, s.exchanges, s.cpu, s.model.fleetMemory(), s.reads, s.writes} {
			points[j] = append(points[j], Point{float64(hosts), v})
		}
		simulations[i] = nil
	}
	var out []Series
	for i, n := range names {
		out = append(out, fitSeries(n.name, n.unit, "host", points[i]))
	}
	return out, nil
}

// simulation is a model after its run, with the measured rates.
type simulation struct {
	model *model
	// exchanges are per second and host; cpu is in percent of a core per host.
	exchanges, cpu float64
	// reads and writes are store calls per second of the whole fleet.
	reads, writes float64
}

func simulate(o Options, hosts int) (*simulation, error) {
	doc := syntheticDocument(hosts)
	data, err := config.Encode(doc)
	if err != nil {
		return nil, err
	}
	m := newModel(doc, o.Seed)
	m.advance(startupTime)
	if err := m.publish(data); err != nil {
		return nil, err
	}
	m.advance(settleTime)
	m.storeReads, m.storeWrites, m.exchangeCount, m.stepTime = 0, 0, 0, 0
	measuredTime := o.SimulatedTime
	if hosts > o.LargeFleetHosts {
		measuredTime = o.LargeFleetSimulatedTime
	}
	m.advance(measuredTime)
	perSecond := func(n int) float64 { return float64(n) / measuredTime.Seconds() }
	return &simulation{
		model: m, exchanges: perSecond(m.exchangeCount) / float64(hosts), cpu: m.stepTime.Seconds() / measuredTime.Seconds() / float64(hosts) * 100,
		reads: perSecond(m.storeReads), writes: perSecond(m.storeWrites),
	}, nil
}

// fleetMemory returns the memory in bytes of one fleet aggregate without the
// document. All hosts of the model share the strings of the host names, which count
// only once. The model cannot run afterwards, because the measured aggregates and
// the pending events are released.
func (m *model) fleetMemory() float64 {
	m.events = nil
	n := min(len(m.hosts)-1, 16)
	before := memoryInUse()
	for _, h := range m.hosts[:n] {
		h.fleet = nil
	}
	return (before - memoryInUse()) / float64(n)
}

type exchangeServer struct {
	peerpb.UnimplementedPeerServer
	response *peerpb.Vector
}

// Exchange implements peerpb.PeerServer.
func (s exchangeServer) Exchange(context.Context, *peerpb.Vector) (*peerpb.Vector, error) {
	return s.response, nil
}

// exchangeCost returns the cost of one exchange over the connection pool between
// hosts: the TCP payload bytes of both directions, and the processor time in
// microseconds of client and server together.
func exchangeCost(ctx context.Context, request, response *peerpb.Vector, calls int) (bytes, micros float64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, errors.Wrap(err, "listen for exchanges")
	}
	srv := grpc.NewServer(peer.ServerOptions(nil, peer.MaxMessageBytes)...)
	peerpb.RegisterPeerServer(srv, exchangeServer{response: response})
	go func() { _ = srv.Serve(listener) }()
	defer srv.Stop()
	byteCount := &byteCounter{}
	pool := peer.NewPool(nil, func(ctx context.Context, a string) (net.Conn, error) { return byteCount.dial(ctx, "tcp", a) })
	defer pool.Close()
	client, err := pool.Client(listener.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	callRepeatedly := func(n int) func() error {
		return func() error {
			for range n {
				if _, err := client.Exchange(ctx, request); err != nil {
					return errors.Wrap(err, "exchange")
				}
			}
			return nil
		}
	}
	// The first calls open the connection and fill its header compression tables.
	if err := callRepeatedly(20)(); err != nil {
		return 0, 0, err
	}
	before := byteCount.bytes.Load()
	cpu, err := measureCPU(callRepeatedly(calls))
	n := float64(calls)
	return float64(byteCount.bytes.Load()-before) / n, float64(cpu.Nanoseconds()) / 1e3 / n, err
}
