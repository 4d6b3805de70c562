package scale

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

// Path is the cost of a statement on one way to a stand-in database at one
// concurrency. The processor time is that of the whole process: caller, hosts and
// stand-in.
type Path struct {
	Concurrency int     `json:"concurrency"`
	Way         string  `json:"way"`
	PerSecond   float64 `json:"per_s"`
	P50         float64 `json:"p50_us"`
	P99         float64 `json:"p99_us"`
	CPU         float64 `json:"cpu_us"`
	// LatencyRatio and CPURatio compare with the direct way.
	LatencyRatio float64 `json:"latency_ratio"`
	CPURatio     float64 `json:"cpu_ratio"`
}

// Ways to a database.
const (
	wayDirect   = "direct"
	wayOneHost  = "one host"
	wayTwoHosts = "two hosts"
)

const (
	pathRoute    = "data"
	pathCustomer = "caller"
	statement    = "SELECT value FROM kv WHERE key = 'none'"
	directUser   = "direct"
	// Settings of the stand-in databases.
	pathSlots       = 64
	pathConnections = 100

	readyTimeout = 20 * time.Second
	drainTimeout = 2 * time.Second
)

// pathDocument describes two hosts and one group in one zone. No rate refuses.
func pathDocument() *config.Document {
	d := &config.Document{Rules: config.Rules{KeyGrace: config.DefaultKeyGrace}}
	d.Inventory.Zones = []config.Zone{{Name: "a", Region: "r"}}
	d.Inventory.Hosts = []config.Host{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}}
	g := config.Group{Name: "g", Durability: config.DurabilityReplicated}
	for _, name := range []string{"g-1", "g-2", "g-3"} {
		g.Servers = append(g.Servers, config.Server{Name: name, Zone: "a", Address: "127.0.0.1:1" + name[2:], Slots: pathSlots, Connections: pathConnections})
	}
	d.Inventory.Groups = []config.Group{g}
	d.Inventory.Customers = []config.Customer{{Name: pathCustomer}}
	d.Rules.Limits = []config.Limit{{Customer: pathCustomer, Rate: 1e6, Burst: 1e5}}
	d.Rules.Routes = []config.Route{{Name: pathRoute, Group: "g", Mode: config.RouteWrite, Deadline: config.DefaultDeadline}}
	return d
}

// deployment is a cluster of which the home of the primary is known.
type deployment struct {
	*cluster.Cluster
	home, other string
	// direct is a database of the same settings outside the deployment, because
	// the home hosts take all connections of theirs.
	direct *standin.Database
}

// stop stops everything.
func (d *deployment) stop() {
	d.Stop()
	d.direct.Kill()
}

func deploy(ctx context.Context) (*deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Settings{Document: pathDocument(), Drain: drainTimeout})
	if err != nil {
		return nil, err
	}
	if err := c.WaitReady(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	d := &deployment{Cluster: c}
	d.direct, err = standin.Start(standin.DatabaseSettings{
		Name: "direct", Primary: "direct", Term: 1, User: directUser, Password: directUser, Slots: pathSlots, Connections: pathConnections,
	})
	if err != nil {
		c.Stop()
		return nil, errors.Wrap(err, "stand-in")
	}
	for name, h := range c.Hosts {
		g := h.Server.Status().Groups[0]
		for _, s := range g.Servers {
			if s.Name == g.Primary {
				d.home = s.Home
			}
		}
		if name != d.home {
			d.other = name
		}
	}
	return d, nil
}

// connect opens a connection on the given way. It passes no relay.
func (d *deployment) connect(ctx context.Context, way string) (*pgconn.PgConn, error) {
	if way == wayDirect {
		conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/app?sslmode=disable", directUser, directUser, d.direct.Address()))
		return conn, errors.Wrap(err, "connect to the stand-in")
	}
	host := d.home
	if way == wayTwoHosts {
		host = d.other
	}
	cfg, err := d.ConnConfig(host, pathRoute, pathCustomer)
	if err != nil {
		return nil, err
	}
	address := d.Hosts[host].Server.ClientAddress()
	cfg.DialFunc = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	conn, err := pgconn.ConnectConfig(ctx, &cfg.Config)
	return conn, errors.Wrapf(err, "connect through %s", way)
}

// paths measures the three ways at each concurrency.
func paths(ctx context.Context, d *deployment, o Options) ([]Path, error) {
	var out []Path
	for _, n := range o.Concurrencies {
		var direct Path
		for _, way := range []string{wayDirect, wayOneHost, wayTwoHosts} {
			p, err := d.measure(ctx, way, n, o.PathTime)
			if err != nil {
				return nil, errors.Wrap(err, way)
			}
			if way == wayDirect {
				direct = p
			}
			p.LatencyRatio, p.CPURatio = p.P50/direct.P50, p.CPU/direct.CPU
			out = append(out, p)
		}
	}
	return out, nil
}

func (d *deployment) measure(ctx context.Context, way string, concurrency int, length time.Duration) (Path, error) {
	conns := make([]*pgconn.PgConn, concurrency)
	for i := range conns {
		conn, err := d.connect(ctx, way)
		if err != nil {
			return Path{}, err
		}
		defer conn.Close(ctx)
		conns[i] = conn
		// The first statement asks for a position and opens streams.
		if err := execute(ctx, conn); err != nil {
			return Path{}, err
		}
	}
	latencies := make([][]time.Duration, concurrency)
	begin := time.Now()
	cpu, err := measureCPU(func() error {
		begin = time.Now()
		var g errgroup.Group
		for i, conn := range conns {
			g.Go(func() error {
				for time.Since(begin) < length {
					at := time.Now()
					if err := execute(ctx, conn); err != nil {
						return err
					}
					latencies[i] = append(latencies[i], time.Since(at))
				}
				return nil
			})
		}
		return g.Wait()
	})
	elapsed := time.Since(begin)
	if err != nil {
		return Path{}, err
	}
	all := slices.Concat(latencies...)
	slices.Sort(all)
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
	return Path{
		Concurrency: concurrency, Way: way, PerSecond: float64(len(all)) / elapsed.Seconds(),
		P50: micros(all[len(all)/2]), P99: micros(all[len(all)*99/100]), CPU: micros(cpu) / float64(len(all)),
	}, nil
}

func execute(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Exec(ctx, statement).ReadAll()
	return errors.Wrap(err, "statement")
}

// connectionLogins bounds the logins in flight.
const connectionLogins = 8

// connectionSeries measures the memory of a client connection over TLS that has
// run one statement and is idle. The caller's TLS state is dropped before the
// measurement; its socket counts.
func connectionSeries(ctx context.Context, d *deployment, o Options) ([]Series, error) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	before := memoryInUse()
	var points []Point
	for _, n := range o.Connections {
		fresh := make([]net.Conn, n-len(conns))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(connectionLogins)
		for i := range fresh {
			g.Go(func() (err error) {
				fresh[i], err = d.idle(ctx)
				return err
			})
		}
		err := g.Wait()
		for _, c := range fresh {
			if c != nil {
				conns = append(conns, c)
			}
		}
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), memoryInUse() - before})
	}
	return []Series{fitted("connection_memory", "B", "connection", points)}, nil
}

// idle logs in at the home of the primary, runs a statement and returns the
// bare connection.
func (d *deployment) idle(ctx context.Context) (net.Conn, error) {
	cfg, err := d.ConnConfig(d.home, pathRoute, pathCustomer)
	if err != nil {
		return nil, err
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.Hosts[d.home].Server.ClientAddress())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if err := login(raw, cfg.TLSConfig, cfg.Password); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return raw, nil
}

func login(raw net.Conn, settings *tls.Config, key string) error {
	if err := raw.SetDeadline(time.Now().Add(readyTimeout)); err != nil {
		return errors.Wrap(err, "login")
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "login")
	}
	if _, err := raw.Write(request); err != nil {
		return errors.Wrap(err, "login")
	}
	answer := make([]byte, 1)
	if _, err := io.ReadFull(raw, answer); err != nil || answer[0] != 'S' {
		return errors.Errorf("login: answer %q to the TLS request, %v", answer, err)
	}
	c := tls.Client(raw, settings)
	fe := pgproto3.NewFrontend(c, c)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "caller", "database": pathRoute},
	})
	fe.Send(&pgproto3.PasswordMessage{Password: key})
	if err := untilReady(fe); err != nil {
		return err
	}
	fe.Send(&pgproto3.Query{String: statement})
	if err := untilReady(fe); err != nil {
		return err
	}
	return errors.Wrap(raw.SetDeadline(time.Time{}), "login")
}

func untilReady(fe *pgproto3.Frontend) error {
	if err := fe.Flush(); err != nil {
		return errors.Wrap(err, "send")
	}
	for {
		m, err := fe.Receive()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return errors.Errorf("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// String implements fmt.Stringer.
func (p Path) String() string {
	return fmt.Sprintf("%.0f/s, p50 %.0f us (x%.1f), p99 %.0f us, cpu %.0f us (x%.1f)", p.PerSecond, p.P50, p.LatencyRatio, p.P99, p.CPU, p.CPURatio)
}
