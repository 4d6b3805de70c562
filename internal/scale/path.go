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

// PathCost is the cost of a statement on one path to a stand-in database at one
// concurrency.
type PathCost struct {
	Concurrency int `json:"concurrency"`
	// Path is one of the paths "direct", "one host" and "two hosts".
	Path string `json:"way"`
	// PerSecond is the number of statements per second.
	PerSecond float64 `json:"per_s"`
	// P50Micros and P99Micros are percentiles of the latency.
	P50Micros float64 `json:"p50_us"`
	P99Micros float64 `json:"p99_us"`
	// CPUMicros is the processor time in microseconds of the whole process per
	// statement: caller, hosts and stand-in database.
	CPUMicros float64 `json:"cpu_us"`
	// LatencyRatio and CPURatio are P50Micros and CPUMicros divided by those of the
	// direct path.
	LatencyRatio float64 `json:"latency_ratio"`
	CPURatio     float64 `json:"cpu_ratio"`
}

// Paths to a database.
const (
	pathDirect   = "direct"
	pathOneHost  = "one host"
	pathTwoHosts = "two hosts"
)

const (
	pathRoute     = "data"
	pathCustomer  = "caller"
	testStatement = "SELECT value FROM kv WHERE key = 'none'"
	directUser    = "direct"
	// Limits of each stand-in database.
	databaseSlots       = 64
	databaseConnections = 100

	readyTimeout = 20 * time.Second
	drainTimeout = 2 * time.Second
)

// pathDocument returns a document with two hosts and one group in one zone. Its
// rate limit is too high to refuse a statement.
func pathDocument() *config.Document {
	d := &config.Document{Rules: config.Rules{KeyGrace: config.DefaultKeyGrace}}
	d.Inventory.Zones = []config.Zone{{Name: "a", Region: "r"}}
	d.Inventory.Hosts = []config.Host{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}}
	g := config.Group{Name: "g", Durability: config.DurabilityReplicated}
	for _, name := range []string{"g-1", "g-2", "g-3"} {
		g.Servers = append(g.Servers, config.Server{Name: name, Zone: "a", Address: "127.0.0.1:1" + name[2:], Slots: databaseSlots, Connections: databaseConnections})
	}
	d.Inventory.Groups = []config.Group{g}
	d.Inventory.Customers = []config.Customer{{Name: pathCustomer}}
	d.Rules.Limits = []config.Limit{{Customer: pathCustomer, Rate: 1e6, Burst: 1e5}}
	d.Rules.Routes = []config.Route{{Name: pathRoute, Group: "g", Mode: config.RouteWrite, Deadline: config.DefaultDeadline}}
	return d
}

// deployment is a running cluster and a database for the direct path.
type deployment struct {
	*cluster.Cluster
	// homeHost is the home host of the primary.
	homeHost, otherHost string
	// directDatabase has the same settings as the databases of the cluster but is
	// outside it, because the home hosts use all connections of theirs.
	directDatabase *standin.Database
}

func (d *deployment) stop() {
	d.Stop()
	d.directDatabase.Kill()
}

func deploy(ctx context.Context) (*deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Settings{Document: pathDocument(), DrainTimeout: drainTimeout})
	if err != nil {
		return nil, err
	}
	if err := c.WaitReady(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	d := &deployment{Cluster: c}
	d.directDatabase, err = standin.Start(standin.DatabaseSettings{
		Name: "direct", Primary: "direct", Term: 1, User: directUser, Password: directUser, Slots: databaseSlots, Connections: databaseConnections,
	})
	if err != nil {
		c.Stop()
		return nil, errors.Wrap(err, "start the stand-in database")
	}
	for name, h := range c.Hosts {
		g := h.Server.Status().Groups[0]
		for _, s := range g.Servers {
			if s.Name == g.Primary {
				d.homeHost = s.Home
			}
		}
		if name != d.homeHost {
			d.otherHost = name
		}
	}
	return d, nil
}

// connect opens a connection on the given path. It bypasses the relays of the
// cluster.
func (d *deployment) connect(ctx context.Context, path string) (*pgconn.PgConn, error) {
	if path == pathDirect {
		conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/app?sslmode=disable", directUser, directUser, d.directDatabase.Address()))
		return conn, errors.Wrap(err, "connect to the stand-in database")
	}
	host := d.homeHost
	if path == pathTwoHosts {
		host = d.otherHost
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
	return conn, errors.Wrapf(err, "connect through %s", path)
}

// measurePaths measures the three paths at each concurrency.
func measurePaths(ctx context.Context, d *deployment, o Options) ([]PathCost, error) {
	var out []PathCost
	for _, concurrency := range o.Concurrencies {
		var direct PathCost
		for _, path := range []string{pathDirect, pathOneHost, pathTwoHosts} {
			p, err := d.measurePath(ctx, path, concurrency, o.PathTime)
			if err != nil {
				return nil, errors.Wrap(err, path)
			}
			if path == pathDirect {
				direct = p
			}
			p.LatencyRatio, p.CPURatio = p.P50Micros/direct.P50Micros, p.CPUMicros/direct.CPUMicros
			out = append(out, p)
		}
	}
	return out, nil
}

func (d *deployment) measurePath(ctx context.Context, path string, concurrency int, length time.Duration) (PathCost, error) {
	conns := make([]*pgconn.PgConn, concurrency)
	for i := range conns {
		conn, err := d.connect(ctx, path)
		if err != nil {
			return PathCost{}, err
		}
		defer conn.Close(ctx)
		conns[i] = conn
		// The first statement fetches a log position and opens streams. It is not
		// part of the measurement.
		if err := executeStatement(ctx, conn); err != nil {
			return PathCost{}, err
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
					start := time.Now()
					if err := executeStatement(ctx, conn); err != nil {
						return err
					}
					latencies[i] = append(latencies[i], time.Since(start))
				}
				return nil
			})
		}
		return g.Wait()
	})
	elapsed := time.Since(begin)
	if err != nil {
		return PathCost{}, err
	}
	sorted := slices.Concat(latencies...)
	slices.Sort(sorted)
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }
	return PathCost{
		Concurrency: concurrency, Path: path, PerSecond: float64(len(sorted)) / elapsed.Seconds(),
		P50Micros: micros(sorted[len(sorted)/2]), P99Micros: micros(sorted[len(sorted)*99/100]), CPUMicros: micros(cpu) / float64(len(sorted)),
	}, nil
}

func executeStatement(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Exec(ctx, testStatement).ReadAll()
	return errors.Wrap(err, "execute statement")
}

// maxConcurrentLogins limits the number of concurrent logins.
const maxConcurrentLogins = 8

// connectionSeries measures the memory of an idle client connection over TLS that
// has executed one statement. The client runs in the same process: its TLS state is
// released before the measurement, its socket is included.
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
		opened := make([]net.Conn, n-len(conns))
		g, ctx := errgroup.WithContext(ctx)
		g.SetLimit(maxConcurrentLogins)
		for i := range opened {
			g.Go(func() (err error) {
				opened[i], err = d.openIdle(ctx)
				return err
			})
		}
		err := g.Wait()
		for _, c := range opened {
			if c != nil {
				conns = append(conns, c)
			}
		}
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), memoryInUse() - before})
	}
	return []Series{fitSeries("connection_memory", "B", "connection", points)}, nil
}

// openIdle logs in to the home host of the primary, executes a statement and
// returns the TCP connection without its TLS state.
func (d *deployment) openIdle(ctx context.Context) (net.Conn, error) {
	cfg, err := d.ConnConfig(d.homeHost, pathRoute, pathCustomer)
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.Hosts[d.homeHost].Server.ClientAddress())
	if err != nil {
		return nil, errors.Wrap(err, "connect to the home host")
	}
	if err := login(conn, cfg.TLSConfig, cfg.Password); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func login(conn net.Conn, tlsConfig *tls.Config, key string) error {
	if err := conn.SetDeadline(time.Now().Add(readyTimeout)); err != nil {
		return errors.Wrap(err, "set the login deadline")
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode the TLS request")
	}
	if _, err := conn.Write(request); err != nil {
		return errors.Wrap(err, "send the TLS request")
	}
	response := make([]byte, 1)
	if _, err := io.ReadFull(conn, response); err != nil || response[0] != 'S' {
		return errors.Errorf("login: response %q to the TLS request, read error: %v", response, err)
	}
	tlsConn := tls.Client(conn, tlsConfig)
	frontend := pgproto3.NewFrontend(tlsConn, tlsConn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "caller", "database": pathRoute},
	})
	frontend.Send(&pgproto3.PasswordMessage{Password: key})
	if err := flushUntilReady(frontend); err != nil {
		return err
	}
	frontend.Send(&pgproto3.Query{String: testStatement})
	if err := flushUntilReady(frontend); err != nil {
		return err
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear the login deadline")
}

// flushUntilReady sends the pending messages and reads until the server is ready
// for a query.
func flushUntilReady(frontend *pgproto3.Frontend) error {
	if err := frontend.Flush(); err != nil {
		return errors.Wrap(err, "send messages to the server")
	}
	for {
		m, err := frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive a message from the server")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return errors.Errorf("server error %s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// String implements fmt.Stringer.
func (p PathCost) String() string {
	return fmt.Sprintf("%.0f/s, p50 %.0f us (x%.1f), p99 %.0f us, cpu %.0f us (x%.1f)", p.PerSecond, p.P50Micros, p.LatencyRatio, p.P99Micros, p.CPUMicros, p.CPURatio)
}
