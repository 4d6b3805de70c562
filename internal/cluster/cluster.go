package cluster

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/server"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Credentials of the hosts for the stand-in databases.
const (
	backendUser     = "cranberryhinge"
	backendPassword = "backend-only-password"
	controlUser     = "cranberryhinge-control"
	controlPassword = "control-only-password"
)

// Settings configure a deployment.
type Settings struct {
	// Document is the configuration. The cluster works on a copy, in which it
	// replaces the addresses of the backend servers by those of the stand-in
	// databases and adds a key to each customer; see Cluster.Key.
	Document *config.Document
	// Database is the template of the stand-in databases.
	Database standin.DatabaseSettings
	// Platform configures the fake of the platform's services.
	Platform store.FakeSettings
	// LogWriter receives the logs of all hosts; nil discards them.
	LogWriter io.Writer
	LogLevel  string
	// Latency is the delay between zones and between callers and hosts.
	Latency Latency
	// OnAdmit, if set, is called for each request that a host's limiter admits.
	OnAdmit func(host, customer string)
	// CountBytes makes Network.Bytes count the traffic of connections that hosts
	// open.
	CountBytes bool
	// DrainTimeout is the drain timeout of a host.
	DrainTimeout time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Platform  *store.Fake
	Databases map[string]*standin.Database
	Hosts     map[string]*Host
	Network   *Network

	settings Settings
	document *config.Document
	cert     Certificate
	pool     *peer.Pool
	version  uint64
}

// Host is one running host.
type Host struct {
	Name   string
	Zone   string
	Server *server.Server

	stop context.CancelFunc
	done chan error
}

// Start starts the databases, the platform fake and every host of the inventory,
// and publishes the configuration. It does not wait until the hosts are ready;
// see WaitReady.
func Start(ctx context.Context, settings Settings) (*Cluster, error) {
	cert, err := NewCertificate()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Platform: store.NewFake(settings.Platform), Databases: map[string]*standin.Database{}, Hosts: map[string]*Host{},
		Network: newNetwork(settings.Latency), settings: settings, cert: cert, pool: peer.NewPool(nil, nil),
	}
	c.Network.countBytes = settings.CountBytes
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	doc, err := cloneDocument(c.settings.Document)
	if err != nil {
		return err
	}
	c.document = doc
	for i := range doc.Inventory.Customers {
		customer := &doc.Inventory.Customers[i]
		sum := sha256.Sum256([]byte(testSecret(customer.Name, testKeyID)))
		customer.Keys = append(customer.Keys, config.KeyRef{ID: testKeyID, Caller: "test", SHA256: config.EncodeDigest(sum)})
	}
	for i := range doc.Inventory.Groups {
		if err := c.startGroup(&doc.Inventory.Groups[i]); err != nil {
			return err
		}
	}
	for _, h := range doc.Inventory.Hosts {
		if err := c.StartHost(h.Name); err != nil {
			return err
		}
	}
	return c.Apply(ctx, func(*config.Document) {})
}

// testKeyID is the ID of the key that the cluster adds to each customer.
const testKeyID = "loopback"

// testSecret returns the secret of a customer's key with the given ID.
func testSecret(customer, id string) string {
	sum := sha256.Sum256([]byte("secret of " + customer + " " + id))
	return hex.EncodeToString(sum[:])
}

// Key returns the key that the cluster has added to a customer.
func (c *Cluster) Key(customer string) string {
	return customer + "." + testKeyID + "." + testSecret(customer, testKeyID)
}

func cloneDocument(doc *config.Document) (*config.Document, error) {
	data, err := config.Encode(doc)
	if err != nil {
		return nil, err
	}
	return config.Decode(data)
}

func (c *Cluster) startGroup(g *config.Group) error {
	settings := make([]standin.DatabaseSettings, len(g.Servers))
	for i, s := range g.Servers {
		d := c.settings.Database
		d.Name, d.Address = s.Name, "127.0.0.1:0"
		d.Primary, d.Term = g.Servers[0].Name, 1
		d.User, d.Password = backendUser, backendPassword
		d.ControlUser, d.ControlPassword = controlUser, controlPassword
		d.Connections, d.Slots = s.Connections, s.Slots
		d.Seed += uint64(len(c.Databases) + i)
		settings[i] = d
	}
	dbs, err := standin.StartGroup(settings...)
	if err != nil {
		return errors.Wrapf(err, "start group %s", g.Name)
	}
	for i, db := range dbs {
		g.Servers[i].Address = db.Address()
		c.Databases[db.Name()] = db
		c.Network.setZone(db.Address(), g.Servers[i].Zone)
	}
	return nil
}

// StartHost starts a host of the inventory. The host may have run and stopped
// before.
func (c *Cluster) StartHost(name string) error {
	var zone string
	for _, h := range c.document.Inventory.Hosts {
		if h.Name == name {
			zone = h.Zone
		}
	}
	tlsConfig, err := c.cert.ServerTLS()
	if err != nil {
		return err
	}
	services := c.Platform.ServicesFor(name)
	writer := c.settings.LogWriter
	if writer == nil {
		writer = io.Discard
	}
	var onAdmit func(string)
	if f := c.settings.OnAdmit; f != nil {
		onAdmit = func(customer string) { f(name, customer) }
	}
	s, err := server.New(server.Settings{
		Name: name, Zone: zone, Platform: "in-process",
		Client: server.ClientSettings{Listen: "127.0.0.1:0", Certificate: "in-process", Key: "in-process"},
		Peer:   server.PeerSettings{Listen: "127.0.0.1:0"},
		Backend: server.BackendSettings{
			User: backendUser, Password: backendPassword, Database: "app",
			ControlUser: controlUser, ControlPassword: controlPassword,
		},
		LogLevel:     c.settings.LogLevel,
		DrainTimeout: config.Duration(c.settings.DrainTimeout),
	}, server.Options{
		Platform: &services, TLS: tlsConfig, LogWriter: writer, Dial: c.Network.dialer(zone), OnAdmit: onAdmit,
	})
	if err != nil {
		return errors.Wrapf(err, "create host %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{Name: name, Zone: zone, Server: s, stop: stop, done: make(chan error, 1)}
	c.Hosts[name] = h
	c.Network.setZone(s.PeerAddress(), zone)
	c.Network.setZone(s.ClientAddress(), zone)
	c.publishHostList()
	go func() { h.done <- s.Run(ctx) }()
	return nil
}

func (c *Cluster) publishHostList() {
	var list []store.ListedHost
	for _, h := range c.Hosts {
		list = append(list, store.ListedHost{Name: h.Name, Address: h.Server.PeerAddress(), Zone: h.Zone})
	}
	c.Platform.SetHosts(list...)
}

// StopHost stops a host gracefully, waits until it has stopped and returns the
// error of its run.
func (c *Cluster) StopHost(name string) error {
	h, ok := c.Hosts[name]
	if !ok {
		return errors.Errorf("no host %q", name)
	}
	h.stop()
	delete(c.Hosts, name)
	c.publishHostList()
	return <-h.done
}

// StopHosts stops all hosts gracefully at the same time, waits until they have
// stopped and returns the first error.
func (c *Cluster) StopHosts() error {
	for _, h := range c.Hosts {
		h.stop()
	}
	var firstErr error
	for name, h := range c.Hosts {
		if err := <-h.done; err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "run host %s", name)
		}
	}
	clear(c.Hosts)
	return firstErr
}

// ConnectDatabase connects to a stand-in database directly, without the proxy.
func (c *Cluster) ConnectDatabase(ctx context.Context, name string) (*pgx.Conn, error) {
	db, ok := c.Databases[name]
	if !ok {
		return nil, errors.Errorf("no database %q", name)
	}
	dsn := fmt.Sprintf("postgres://%s:%s@%s/app?sslmode=disable", backendUser, backendPassword, db.Address())
	conn, err := pgx.Connect(ctx, dsn)
	return conn, errors.Wrapf(err, "connect to database %s", name)
}

// Stop stops the hosts gracefully, kills the databases and closes the network.
func (c *Cluster) Stop() {
	_ = c.StopHosts()
	for _, db := range c.Databases {
		db.Kill()
	}
	c.pool.Close()
	c.Network.close()
}

// Partition applies mode to the links of a zone to every other zone and to the
// callers, and disconnects its hosts from the platform. Heal ends the partition.
func (c *Cluster) Partition(zone string, mode faultnet.Mode) {
	c.Network.SetMode(zone, Clients, mode)
	for _, z := range c.document.Inventory.Zones {
		if z.Name != zone {
			c.CutZones(zone, z.Name, mode)
		}
	}
	c.Platform.DisconnectHosts(c.hostNamesInZone(zone)...)
}

// CutZones applies mode to the links between two zones, and stops replication
// between their databases. Heal ends the partition.
func (c *Cluster) CutZones(a, b string, mode faultnet.Mode) {
	c.Network.SetMode(a, b, mode)
	for _, g := range c.document.Inventory.Groups {
		for _, s := range g.Servers {
			for _, o := range g.Servers {
				if newZonePair(s.Zone, o.Zone) == newZonePair(a, b) && s.Zone != o.Zone {
					c.Databases[s.Name].Isolate(o.Name)
				}
			}
		}
	}
}

// Heal ends every partition.
func (c *Cluster) Heal() {
	c.Network.restoreAllLinks()
	for _, db := range c.Databases {
		db.EndIsolation()
	}
	for _, h := range c.document.Inventory.Hosts {
		c.Platform.ReconnectHosts(h.Name)
	}
}

func (c *Cluster) hostNamesInZone(zone string) []string {
	var names []string
	for _, h := range c.document.Inventory.Hosts {
		if h.Zone == zone {
			names = append(names, h.Name)
		}
	}
	return names
}

// Document returns a copy of the configuration that was applied last.
func (c *Cluster) Document() *config.Document {
	doc, err := cloneDocument(c.document)
	if err != nil {
		panic(err) // c.document is itself a decoded copy
	}
	return doc
}

// retryInterval is the pause between attempts to publish a configuration and
// between checks for readiness.
const retryInterval = 50 * time.Millisecond

// Apply edits a copy of the configuration and publishes it through any host. It
// retries until ctx ends, since hosts that are still starting refuse it.
func (c *Cluster) Apply(ctx context.Context, edit func(*config.Document)) error {
	doc := c.Document()
	edit(doc)
	data, err := config.Encode(doc)
	if err != nil {
		return err
	}
	for {
		err := c.tryApply(ctx, data)
		if err == nil {
			c.document = doc
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

func (c *Cluster) tryApply(ctx context.Context, data []byte) error {
	var lastErr error = errors.New("no host is running")
	for _, h := range c.Hosts {
		client, err := c.pool.Client(h.Server.PeerAddress())
		if err != nil {
			return err
		}
		resp, err := client.Apply(ctx, &peerpb.ApplyRequest{Document: data, BaseVersion: c.version})
		switch {
		case err != nil:
			lastErr = err
		case resp.GetConflict() && resp.GetVersion() == c.version+1:
			// An earlier attempt published it, but its answer was lost.
			c.version = resp.GetVersion()
			return nil
		case resp.GetConflict() || resp.GetError() != "":
			lastErr = errors.Errorf("host refused the configuration: conflict %t, error %s", resp.GetConflict(), resp.GetError())
		default:
			c.version = resp.GetVersion()
			return nil
		}
	}
	return lastErr
}

// Version returns the version of the configuration that was applied last.
func (c *Cluster) Version() uint64 { return c.version }

// WaitReady waits until every host has the newest configuration, accepts keys and
// has found a primary for each group and a home host for each backend server.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		reason := c.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("deployment not ready: %s", reason)
		case <-time.After(retryInterval):
		}
	}
}

// notReadyReason returns why the deployment is not ready, or "" if it is ready.
func (c *Cluster) notReadyReason() string {
	for _, h := range c.Hosts {
		st := h.Server.Status()
		if st.ConfigVersion < c.version {
			return fmt.Sprintf("host %s has configuration version %d of %d", h.Name, st.ConfigVersion, c.version)
		}
		if !st.KeysFresh {
			return fmt.Sprintf("host %s does not accept keys", h.Name)
		}
		for _, g := range st.Groups {
			if g.Primary == "" {
				return fmt.Sprintf("host %s has found no primary of group %s", h.Name, g.Name)
			}
			for _, s := range g.Servers {
				if s.Home == "" {
					return fmt.Sprintf("host %s has found no home host of server %s", h.Name, s.Name)
				}
			}
		}
	}
	return ""
}

// ConnConfig returns the configuration of a pgx client that connects to a host
// and a route with a customer's key, or without a key if customer is empty.
func (c *Cluster) ConnConfig(host, route, customer string) (*pgx.ConnConfig, error) {
	h, ok := c.Hosts[host]
	if !ok {
		return nil, errors.Errorf("no host %q", host)
	}
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse client settings")
	}
	address, err := c.Network.dialAddress(Clients, h.Server.ClientAddress())
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse client address")
	}
	cfg.Host = "127.0.0.1"
	if _, err := fmt.Sscan(port, &cfg.Port); err != nil {
		return nil, errors.Wrap(err, "parse client port")
	}
	cfg.User, cfg.Database = "caller", route
	if customer != "" {
		cfg.Password = c.Key(customer)
	}
	cfg.TLSConfig = c.clientTLS()
	cfg.Fallbacks = nil
	return cfg, nil
}

func (c *Cluster) clientTLS() *tls.Config { return c.cert.ClientTLS() }

// Connect opens a pgx connection with the configuration that ConnConfig returns,
// in pgx's default query mode.
func (c *Cluster) Connect(ctx context.Context, host, route, customer string) (*pgx.Conn, error) {
	cfg, err := c.ConnConfig(host, route, customer)
	if err != nil {
		return nil, err
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	return conn, errors.Wrapf(err, "connect to %s on route %s", host, route)
}
