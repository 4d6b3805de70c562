package bench

import (
	"context"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

// Options of a run.
type Options struct {
	// Examples is the directory that holds the example configurations.
	Examples string
	Seed     uint64
	// Duration is the time under load; 0 means the scenario's default.
	Duration time.Duration
	// Log receives the logs of all hosts; nil discards them.
	Log io.Writer
	// Plot is the directory for plots of the scenario scale; empty draws none.
	Plot string
}

// scenario is one kind of run.
type scenario struct {
	run      func(context.Context, Options) (*Report, error)
	duration time.Duration
}

var scenarios = map[string]scenario{
	"failover": {runFailover, 30 * time.Second},
	"noisy":    {runNoisy, 30 * time.Second},
	"zone":     {runZone, 25 * time.Second},
	"outage":   {runOutage, 25 * time.Second},
	"scale":    {runScale, 0},
}

// Names returns the names of the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run runs the named scenario.
func Run(ctx context.Context, name string, opts Options) (*Report, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, errors.Errorf("unknown scenario %q", name)
	}
	if opts.Duration == 0 {
		opts.Duration = s.duration
	}
	r, err := s.run(ctx, opts)
	return r, errors.Wrapf(err, "scenario %s", name)
}

// readyTimeout bounds the start of a deployment and its return to full service.
const readyTimeout = 20 * time.Second

func readyContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, readyTimeout)
}

// drainTimeout bounds the planned stop of the hosts after a run.
const drainTimeout = 3 * time.Second

// sundarban returns the settings of the Sundarban deployment.
func sundarban(opts Options) (cluster.Settings, error) {
	doc, err := config.Load(filepath.Join(opts.Examples, "sundarban"))
	return cluster.Settings{
		Document: doc, Drain: drainTimeout, LogWriter: opts.Log,
		Latency: cluster.Latency{Zones: time.Millisecond, Clients: time.Millisecond},
		Database: standin.DatabaseSettings{
			ConnectDelay:   10 * time.Millisecond,
			ServiceTime:    standin.Range{Min: 2 * time.Millisecond, Max: 5 * time.Millisecond},
			TransportDelay: standin.Fixed(time.Millisecond),
			ApplyDelay:     standin.Range{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond},
			Seed:           opts.Seed,
		},
	}, err
}

// kandyanService is the time that a statement occupies a slot.
var kandyanService = standin.Range{Min: 4 * time.Millisecond, Max: 8 * time.Millisecond}

// Delays of the network of the Kandyan deployment.
const (
	kandyanZoneDelay   = 500 * time.Microsecond
	kandyanClientDelay = time.Millisecond
)

// kandyan returns the settings of the Kandyan deployment.
func kandyan(opts Options) (cluster.Settings, error) {
	doc, err := config.Load(filepath.Join(opts.Examples, "kandyan"))
	return cluster.Settings{
		Document: doc, Drain: drainTimeout, LogWriter: opts.Log,
		Latency: cluster.Latency{Zones: kandyanZoneDelay, Clients: kandyanClientDelay},
		Database: standin.DatabaseSettings{
			ConnectDelay:   30 * time.Millisecond,
			ServiceTime:    kandyanService,
			TransportDelay: standin.Fixed(kandyanZoneDelay),
			ApplyDelay:     standin.Range{Min: 20 * time.Millisecond, Max: 100 * time.Millisecond},
			Seed:           opts.Seed,
		},
	}, err
}

// deploy starts a deployment and waits until it is ready.
func deploy(ctx context.Context, settings cluster.Settings) (*cluster.Cluster, error) {
	ctx, cancel := readyContext(ctx)
	defer cancel()
	c, err := cluster.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	if err := c.WaitReady(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// contents stops the hosts and reads the primary of every group.
func contents(ctx context.Context, c *cluster.Cluster) (map[string]Contents, error) {
	if err := c.StopHosts(); err != nil {
		return nil, err
	}
	all := map[string]Contents{}
	for _, g := range c.Document().Inventory.Groups {
		held, err := readDatabase(ctx, c, primaryOf(c, g))
		if err != nil {
			return nil, errors.Wrapf(err, "group %s", g.Name)
		}
		all[g.Name] = held
	}
	return all, nil
}

// primaryOf returns the server that leads the group in its highest term.
func primaryOf(c *cluster.Cluster, g config.Group) string {
	name, term := "", uint64(0)
	for _, s := range g.Servers {
		if st := c.Databases[s.Name].Status(); st.Role == "primary" && st.Term > term {
			name, term = s.Name, st.Term
		}
	}
	return name
}

func readDatabase(ctx context.Context, c *cluster.Cluster, name string) (Contents, error) {
	held := Contents{Values: map[string]string{}}
	conn, err := c.ConnectDatabase(ctx, name)
	if err != nil {
		return held, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT key, value FROM kv")
	if err != nil {
		return held, errors.Wrap(err, "read registers")
	}
	for rows.Next() {
		var key, value string
		if err := rows.Scan(&key, &value); err != nil {
			return held, errors.Wrap(err, "read registers")
		}
		held.Values[key] = value
	}
	if rows.Err() != nil {
		return held, errors.Wrap(rows.Err(), "read registers")
	}
	if rows, err = conn.Query(ctx, "SELECT entry FROM log"); err != nil {
		return held, errors.Wrap(err, "read log")
	}
	for rows.Next() {
		var entry string
		if err := rows.Scan(&entry); err != nil {
			return held, errors.Wrap(err, "read log")
		}
		held.Log = append(held.Log, entry)
	}
	return held, errors.Wrap(rows.Err(), "read log")
}

// sleepUntil waits until the time of the load.
func sleepUntil(ctx context.Context, l *Load, at time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(at - l.Now()):
	}
}
