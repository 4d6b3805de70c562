// Package demo runs a demonstration in fixed steps. It starts stand-in databases,
// a fake of the platform's services and several hosts in one process on loopback.
// Each step checks one guarantee of the system through pgx connections.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

// Time limits of the demonstration, and targets that the steps check.
const (
	startTimeout = 15 * time.Second
	stepTimeout  = 12 * time.Second
	// withdrawalTarget and failoverTarget are guarantees of the product: the time
	// until a withdrawn key is refused, and until the first write after the failure
	// of a primary.
	withdrawalTarget = 3 * time.Second
	failoverTarget   = 5 * time.Second
	// zoneOutTarget bounds the time until a zone that was taken out of service
	// refuses new sessions.
	zoneOutTarget = 3 * time.Second
)

// StepReport is the result of one step. Detail describes what was checked, or is
// the error if OK is false.
type StepReport struct {
	Name    string  `json:"name"`
	OK      bool    `json:"ok"`
	Detail  string  `json:"detail"`
	Seconds float64 `json:"seconds"`
}

// Report is the result of the demonstration. OK is set if every step succeeded.
type Report struct {
	OK    bool         `json:"ok"`
	Steps []StepReport `json:"steps"`
}

// Options configure a demonstration.
type Options struct {
	// Out receives a line when the deployment is ready and one for each step.
	Out io.Writer
	// Log receives the hosts' logs; nil discards them.
	Log io.Writer
}

type demo struct {
	cluster *cluster.Cluster
	out     io.Writer
}

// Run starts the deployment and runs every step. It returns an error if the
// deployment does not start; failed steps are in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	c, err := cluster.Start(startCtx, cluster.Settings{
		Document: demoDocument(), LogWriter: opts.Log, LogLevel: "info", DrainTimeout: 5 * time.Second,
		Latency: cluster.Latency{Zones: time.Millisecond, Clients: time.Millisecond},
		Database: standin.DatabaseSettings{
			ConnectDelay:   10 * time.Millisecond,
			TransportDelay: standin.DurationRange{Min: time.Millisecond, Max: 2 * time.Millisecond},
			ApplyDelay:     standin.DurationRange{Min: 50 * time.Millisecond, Max: 200 * time.Millisecond},
		},
	})
	if err != nil {
		return Report{}, errors.Wrap(err, "start deployment")
	}
	defer c.Stop()
	if err := c.WaitReady(startCtx); err != nil {
		return Report{}, err
	}
	fmt.Fprintf(opts.Out, "three zones, four hosts, one database group of three, ready after %.1f s\n", time.Since(begin).Seconds())
	d := &demo{cluster: c, out: opts.Out}
	return d.runSteps(ctx), nil
}

func (d *demo) runSteps(ctx context.Context) Report {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"write through one host", d.writeTransaction},
		{"read your write through another host", d.readYourWrite},
		{"stale read from a replica", d.staleRead},
		{"key of another customer is refused", d.otherCustomerKey},
		{"key withdrawal closes a working session", d.withdrawKey},
		{"customer over its rate is refused, the other is not", d.rateLimit},
		{"failover of the primary", d.failover},
		{"planned stop of a host cuts no request", d.plannedStop},
		{"availability zone out and in", d.zoneOutAndIn},
	}
	r := Report{OK: true}
	for _, s := range steps {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		begin := time.Now()
		detail, err := s.run(stepCtx)
		cancel()
		step := StepReport{Name: s.name, OK: err == nil, Detail: detail, Seconds: time.Since(begin).Seconds()}
		mark := "ok    "
		if err != nil {
			step.Detail, mark, r.OK = err.Error(), "FAILED", false
		}
		r.Steps = append(r.Steps, step)
		fmt.Fprintf(d.out, "%s  %s (%.2f s): %s\n", mark, s.name, step.Seconds, step.Detail)
	}
	return r
}

func demoDocument() *config.Document {
	doc := &config.Document{
		Inventory: config.Inventory{
			Zones: []config.Zone{{Name: "north", Region: "demo"}, {Name: "south", Region: "demo"}, {Name: "east", Region: "demo"}},
			Hosts: []config.Host{
				{Name: "north-1", Zone: "north"},
				{Name: "south-1", Zone: "south"},
				{Name: "south-2", Zone: "south"},
				{Name: "east-1", Zone: "east"},
			},
			Customers: []config.Customer{{Name: "acme"}, {Name: "birch"}},
		},
		Rules: config.Rules{
			Routes: []config.Route{
				{Name: "orders", Group: "orders", Mode: config.RouteWrite, Customers: []string{"acme"}, Deadline: config.Duration(8 * time.Second)},
				{
					Name: "orders-read", Group: "orders", Mode: config.RouteRead, Customers: []string{"acme"},
					Staleness: config.Duration(5 * time.Second), Repeatable: true, Deadline: config.Duration(4 * time.Second),
				},
				{Name: "birch", Group: "orders", Mode: config.RouteWrite, Customers: []string{"birch"}, Deadline: config.DefaultDeadline},
				{Name: "notices", Group: "orders", Mode: config.RouteRead, Staleness: config.Duration(time.Minute), Public: true, Deadline: config.DefaultDeadline},
			},
			Limits: []config.Limit{
				{Customer: "acme", Rate: 500, Burst: 500},
				{Customer: "birch", Rate: 20, Burst: 20},
				{Customer: config.PublicCustomer, Rate: 50, Burst: 50},
			},
		},
	}
	servers := []config.Server{{Name: "orders-1", Zone: "north"}, {Name: "orders-2", Zone: "south"}, {Name: "orders-3", Zone: "east"}}
	for i := range servers {
		servers[i].Address = fmt.Sprintf("127.0.0.1:%d", i+1) // package cluster replaces it
		servers[i].Slots, servers[i].Connections = 3, 20
	}
	doc.Inventory.Groups = []config.Group{{Name: "orders", Durability: config.DurabilityReplicated, Servers: servers}}
	return doc
}

const upsert = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"

const selectValue = "SELECT value FROM kv WHERE key = $1"

func (d *demo) connect(ctx context.Context, host, route, customer string) (*pgx.Conn, error) {
	return d.cluster.Connect(ctx, host, route, customer)
}

// put writes a value through a host in a transaction, and returns the session
// token that the host reports after the commit.
func (d *demo) put(ctx context.Context, host, key, value string) (token string, err error) {
	conn, err := d.connect(ctx, host, "orders", "acme")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	tx, err := conn.Begin(ctx)
	if err != nil {
		return "", err
	}
	if _, err := tx.Exec(ctx, upsert, key, value); err != nil {
		return "", err
	}
	if err := tx.Commit(ctx); err != nil {
		return "", err
	}
	return conn.PgConn().ParameterStatus("cranberryhinge.token"), nil
}

// expectValue returns an error unless a read through a host returns want.
func (d *demo) expectValue(ctx context.Context, host, route, key, want string) error {
	conn, err := d.connect(ctx, host, route, "acme")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var got string
	if err := conn.QueryRow(ctx, selectValue, key).Scan(&got); err != nil {
		return err
	}
	if got != want {
		return errors.Errorf("read %q, want %q", got, want)
	}
	return nil
}

func (d *demo) writeTransaction(ctx context.Context) (string, error) {
	token, err := d.put(ctx, "north-1", "order-1", "placed")
	if err == nil && token == "" {
		err = errors.New("the commit reported no token")
	}
	return "a transaction over TLS with a key; the host reported token " + token, err
}

func (d *demo) readYourWrite(ctx context.Context) (string, error) {
	const rounds = 10
	for i := range rounds {
		value := fmt.Sprintf("round-%d", i)
		if _, err := d.put(ctx, "north-1", "order-1", value); err != nil {
			return "", err
		}
		if err := d.expectValue(ctx, "east-1", "orders-read", "order-1", value); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d of %d reads saw the write although replicas lag by 50 to 200 ms", rounds, rounds), nil
}

func (d *demo) staleRead(ctx context.Context) (string, error) {
	const reads = 40
	before := d.sumCounter("reads_replica")
	conn, err := d.connect(ctx, "east-1", "orders-read", "acme")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	for range reads {
		var value string
		if err := conn.QueryRow(ctx, selectValue, "order-1").Scan(&value); err != nil {
			return "", err
		}
	}
	served := d.sumCounter("reads_replica") - before
	if served < reads/2 {
		return "", errors.Errorf("replicas served %d of %d reads", served, reads)
	}
	return fmt.Sprintf("replicas served %d of %d reads", served, reads), nil
}

// sumCounter returns the sum of a counter over all hosts.
func (d *demo) sumCounter(name string) int64 {
	var sum int64
	for _, h := range d.cluster.Hosts {
		sum += h.Server.Counters().Get(name)
	}
	return sum
}

// sqlState returns the SQLSTATE of a PostgreSQL error, empty for any other error.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func (d *demo) otherCustomerKey(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, "south-1", "orders", "birch")
	if err == nil {
		_ = conn.Close(ctx)
		return "", errors.New("the connection was accepted")
	}
	if sqlState(err) != "28000" {
		return "", err
	}
	return "refused with SQLSTATE 28000", nil
}

func (d *demo) withdrawKey(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, "east-1", "birch", "birch")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		return "", err
	}
	if err := d.setWithdrawn(ctx, true); err != nil {
		return "", err
	}
	begin := time.Now()
	for {
		if _, err = conn.Exec(ctx, "SELECT 1"); err != nil && sqlState(err) != "53400" {
			break
		}
		time.Sleep(60 * time.Millisecond)
	}
	elapsed := time.Since(begin)
	if ctx.Err() != nil || elapsed > withdrawalTarget {
		return "", errors.Errorf("the session still worked %.1f s after the withdrawal: %v", elapsed.Seconds(), err)
	}
	if _, err := d.connect(ctx, "south-1", "birch", "birch"); sqlState(err) != "28P01" {
		return "", errors.Errorf("a new connection got %v", err)
	}
	return fmt.Sprintf("the open session ended %.2f s after the configuration was accepted; a new one got 28P01", elapsed.Seconds()), d.setWithdrawn(ctx, false)
}

func (d *demo) setWithdrawn(ctx context.Context, withdrawn bool) error {
	return d.cluster.Apply(ctx, func(doc *config.Document) {
		for i := range doc.Inventory.Customers {
			if doc.Inventory.Customers[i].Name == "birch" {
				doc.Inventory.Customers[i].Keys[0].Withdrawn = withdrawn
			}
		}
	})
}

func (d *demo) rateLimit(ctx context.Context) (string, error) {
	const callers, limit, burst = 16, 20, 20
	const duration = time.Second
	if err := d.cluster.WaitReady(ctx); err != nil {
		return "", err
	}
	var admitted, refused atomic.Int64
	var group errgroup.Group
	begin := time.Now()
	for i := range callers {
		host := []string{"south-1", "south-2", "north-1", "east-1"}[i%4]
		group.Go(func() error {
			conn, err := d.connect(ctx, host, "birch", "birch")
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			for time.Since(begin) < duration {
				_, err := conn.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
				switch sqlState(err) {
				case "":
					if err != nil {
						return err
					}
					admitted.Add(1)
				case "53400":
					refused.Add(1)
				default:
					return err
				}
			}
			return nil
		})
	}
	if _, err := d.put(ctx, "south-1", "order-2", "placed"); err != nil {
		return "", errors.Wrap(err, "write of the other customer")
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	maxAdmitted := burst + limit*time.Since(begin).Seconds()
	if float64(admitted.Load()) > maxAdmitted {
		return "", errors.Errorf("%d requests admitted, at most %.1f allowed", admitted.Load(), maxAdmitted)
	}
	if refused.Load() == 0 {
		return "", errors.New("nothing was refused")
	}
	return fmt.Sprintf("%d requests admitted through four hosts (limit %d/s, burst %d), %d refused with 53400; the other customer's write succeeded meanwhile",
		admitted.Load(), limit, burst, refused.Load()), nil
}

func (d *demo) failover(ctx context.Context) (string, error) {
	if _, err := d.put(ctx, "south-1", "order-3", "before"); err != nil {
		return "", err
	}
	primary := d.primary()
	d.cluster.Databases[primary].Kill()
	begin := time.Now()
	var failedAttempts int
	for {
		_, err := d.put(ctx, "south-1", "order-4", "after")
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return "", err
		}
		failedAttempts++
		time.Sleep(20 * time.Millisecond)
	}
	gap := time.Since(begin)
	if err := d.expectValue(ctx, "east-1", "orders-read", "order-3", "before"); err != nil {
		return "", errors.Wrap(err, "read the write from before the failure")
	}
	if gap > failoverTarget {
		return "", errors.Errorf("first write %.2f s after the failure, target %s", gap.Seconds(), failoverTarget)
	}
	if err := d.cluster.Databases[primary].Restart(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s was killed; the first write was acknowledged %.2f s later by %s, %d attempts failed with an error", primary, gap.Seconds(), d.primary(), failedAttempts), nil
}

// primary returns the primary with the highest term in the status of any host.
func (d *demo) primary() string {
	var name string
	var term uint64
	for _, h := range d.cluster.Hosts {
		if g := h.Server.Status().Groups[0]; g.Term >= term && g.Primary != "" {
			name, term = g.Primary, g.Term
		}
	}
	return name
}

func (d *demo) plannedStop(ctx context.Context) (string, error) {
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(100 * time.Millisecond)
		stopped <- d.cluster.StopHost("south-2")
	}()
	writes := 0
	for {
		if _, err := d.put(ctx, "north-1", "order-5", fmt.Sprint(writes)); err != nil {
			return "", errors.Wrapf(err, "write %d", writes)
		}
		writes++
		select {
		case err := <-stopped:
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("%d writes through another host while it stopped, none failed", writes), d.cluster.StartHost("south-2")
		default:
		}
	}
}

func (d *demo) zoneOutAndIn(ctx context.Context) (string, error) {
	zone := "east"
	if err := d.setZoneOut(ctx, zone); err != nil {
		return "", err
	}
	begin := time.Now()
	for {
		conn, err := d.connect(ctx, "east-1", "orders-read", "acme")
		if err != nil && sqlState(err) == "57P03" {
			break
		}
		if conn != nil {
			_ = conn.Close(ctx)
		}
		if time.Since(begin) > zoneOutTarget {
			return "", errors.New("the zone still accepts new sessions")
		}
		time.Sleep(20 * time.Millisecond)
	}
	elapsed := time.Since(begin)
	if _, err := d.put(ctx, "north-1", "order-6", "while out"); err != nil {
		return "", err
	}
	if err := d.setZoneOut(ctx, ""); err != nil {
		return "", err
	}
	for {
		err := d.expectValue(ctx, "east-1", "orders-read", "order-6", "while out")
		if err == nil {
			return fmt.Sprintf("%s refused new sessions %.2f s after the configuration was accepted, and served again after it came back", zone, elapsed.Seconds()), nil
		}
		if ctx.Err() != nil {
			return "", err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// setZoneOut takes one zone out of service and brings all others back; an empty
// zone brings all back.
func (d *demo) setZoneOut(ctx context.Context, zone string) error {
	return d.cluster.Apply(ctx, func(doc *config.Document) {
		doc.Rules.ZonesOut = nil
		if zone != "" {
			doc.Rules.ZonesOut = []string{zone}
		}
	})
}
