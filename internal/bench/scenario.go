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

// Options configure a run.
type Options struct {
	// Examples is the directory that holds the example configurations.
	Examples string
	Seed     uint64
	// Duration is the time under load; 0 means the default of the scenario.
	Duration time.Duration
	// Log receives the logs of all hosts; nil discards them.
	Log io.Writer
	// Plot is the directory for the plots of scenario scale; empty means no plots.
	Plot string
}

// scenario is the function of a scenario and its default duration.
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

// ScenarioNames returns the names of the scenarios, sorted.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run runs the named scenario and returns its report. It returns an error if the name is
// unknown or the scenario could not be completed.
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

// readyTimeout bounds the wait until a deployment is ready: all hosts have the newest
// configuration, and every group has its primary and a home host for each server.
const readyTimeout = 20 * time.Second

func readyContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, readyTimeout)
}

// drainTimeout bounds the drain of the hosts when they are stopped after a run.
const drainTimeout = 3 * time.Second

// sundarbanSettings returns the settings of the Sundarban deployment.
func sundarbanSettings(opts Options) (cluster.Settings, error) {
	doc, err := config.Load(filepath.Join(opts.Examples, "sundarban"))
	return cluster.Settings{
		Document: doc, DrainTimeout: drainTimeout, LogWriter: opts.Log,
		Latency: cluster.Latency{Zones: time.Millisecond, Clients: time.Millisecond},
		Database: standin.DatabaseSettings{
			ConnectDelay:   10 * time.Millisecond,
			ServiceTime:    standin.DurationRange{Min: 2 * time.Millisecond, Max: 5 * time.Millisecond},
			TransportDelay: standin.FixedDuration(time.Millisecond),
			ApplyDelay:     standin.DurationRange{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond},
			Seed:           opts.Seed,
		},
	}, err
}

// kandyanService is the range of the time for which a statement occupies a slot.
var kandyanService = standin.DurationRange{Min: 4 * time.Millisecond, Max: 8 * time.Millisecond}

// Network delays of the Kandyan deployment.
const (
	kandyanZoneDelay   = 500 * time.Microsecond
	kandyanClientDelay = time.Millisecond
)

// kandyanSettings returns the settings of the Kandyan deployment.
func kandyanSettings(opts Options) (cluster.Settings, error) {
	doc, err := config.Load(filepath.Join(opts.Examples, "kandyan"))
	return cluster.Settings{
		Document: doc, DrainTimeout: drainTimeout, LogWriter: opts.Log,
		Latency: cluster.Latency{Zones: kandyanZoneDelay, Clients: kandyanClientDelay},
		Database: standin.DatabaseSettings{
			ConnectDelay:   30 * time.Millisecond,
			ServiceTime:    kandyanService,
			TransportDelay: standin.FixedDuration(kandyanZoneDelay),
			ApplyDelay:     standin.DurationRange{Min: 20 * time.Millisecond, Max: 100 * time.Millisecond},
			Seed:           opts.Seed,
		},
	}, err
}

// deploy starts a deployment and waits up to readyTimeout until it is ready.
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

// readContents stops the hosts and reads the primary of every group. It returns the
// contents by group.
func readContents(ctx context.Context, c *cluster.Cluster) (map[string]Contents, error) {
	if err := c.StopHosts(); err != nil {
		return nil, err
	}
	all := map[string]Contents{}
	for _, g := range c.Document().Inventory.Groups {
		stored, err := readDatabase(ctx, c, primaryOf(c, g))
		if err != nil {
			return nil, errors.Wrapf(err, "read contents of group %s", g.Name)
		}
		all[g.Name] = stored
	}
	return all, nil
}

// primaryOf returns the name of the group's primary with the highest term.
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
	stored := Contents{Values: map[string]string{}}
	conn, err := c.ConnectDatabase(ctx, name)
	if err != nil {
		return stored, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT key, value FROM kv")
	if err != nil {
		return stored, errors.Wrap(err, "read table kv")
	}
	for rows.Next() {
		var key, value string
		if err := rows.Scan(&key, &value); err != nil {
			return stored, errors.Wrap(err, "read table kv")
		}
		stored.Values[key] = value
	}
	if rows.Err() != nil {
		return stored, errors.Wrap(rows.Err(), "read table kv")
	}
	if rows, err = conn.Query(ctx, "SELECT entry FROM log"); err != nil {
		return stored, errors.Wrap(err, "read table log")
	}
	for rows.Next() {
		var entry string
		if err := rows.Scan(&entry); err != nil {
			return stored, errors.Wrap(err, "read table log")
		}
		stored.Log = append(stored.Log, entry)
	}
	return stored, errors.Wrap(rows.Err(), "read table log")
}

// sleepUntil waits until the given time after the start of the load, or until ctx ends.
func sleepUntil(ctx context.Context, l *Load, at time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(at - l.Now()):
	}
}
