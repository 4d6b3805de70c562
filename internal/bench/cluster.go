package bench

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/platform"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

// Places of a link that are no zone.
const (
	PlacePlatform = "platform"
	PlaceClients  = "clients"
)

// ClusterOptions are what the design page leaves open about a deployment.
type ClusterOptions struct {
	Seed uint64
	// ServiceTime is the time of a statement in its slot.
	ServiceTime standin.Range
	// ApplyDelay is the lag of replicas beyond the network.
	ApplyDelay standin.Range
	// PlatformDelay is the time of a call to the platform.
	PlatformDelay standin.Range
	// HostLag is the age of the host list.
	HostLag time.Duration
}

// DefaultClusterOptions are chosen, not measured: statements of 2 ms, replicas
// that lag by up to 20 ms, a platform that answers within 5 ms.
func DefaultClusterOptions() ClusterOptions {
	return ClusterOptions{
		Seed:          1,
		ServiceTime:   standin.Fixed(2 * time.Millisecond),
		ApplyDelay:    standin.Range{Min: 2 * time.Millisecond, Max: 20 * time.Millisecond},
		PlatformDelay: standin.Range{Min: time.Millisecond, Max: 5 * time.Millisecond},
		HostLag:       2 * time.Second,
	}
}

// Cluster is a deployment without its entry hosts: database groups and the
// platform, in process and on loopback.
type Cluster struct {
	Deployment  Deployment
	Credentials dbconn.Credentials
	// Groups holds the databases of each group, the first primary first.
	Groups   [][]*standin.Database
	Platform *platform.Fake
	// PlatformAddress serves the platform over gRPC.
	PlatformAddress string

	cancel context.CancelFunc
	served chan error

	mu    sync.Mutex
	links map[linkKey]*faultnet.Relay
	modes map[[2]string]faultnet.Mode
}

type linkKey struct{ from, to, target string }

// StartCluster starts a deployment.
func StartCluster(d Deployment, options ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		Deployment:  d,
		Credentials: dbconn.Credentials{User: "cranberryhinge", Password: "backend password", Database: "kv"},
		links:       make(map[linkKey]*faultnet.Relay),
		modes:       make(map[[2]string]faultnet.Mode),
	}
	if err := c.startPlatform(options); err != nil {
		return nil, err
	}
	for group := range d.Groups {
		databases, err := standin.StartGroup(c.groupSettings(group, options)...)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Groups = append(c.Groups, databases)
	}
	return c, nil
}

func (c *Cluster) startPlatform(options ClusterOptions) error {
	c.Platform = platform.NewFake(platform.FakeSettings{
		DelayMin: options.PlatformDelay.Min, DelayMax: options.PlatformDelay.Max,
		HostLag: options.HostLag, Seed: options.Seed,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform listener")
	}
	c.PlatformAddress = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.served = cancel, make(chan error, 1)
	go func() { c.served <- platform.Serve(ctx, listener, c.Platform) }()
	return nil
}

func (c *Cluster) groupSettings(group int, options ClusterOptions) []standin.DatabaseSettings {
	d := c.Deployment
	var settings []standin.DatabaseSettings
	for i := range d.Databases {
		settings = append(settings, standin.DatabaseSettings{
			Name: d.databaseName(group, i), Term: 1, Primary: d.databaseName(group, 0),
			User: c.Credentials.User, Password: c.Credentials.Password,
			Connections: d.Connections, ConnectDelay: d.ConnectDelay, Slots: d.Slots,
			ServiceTime: options.ServiceTime, TransportDelay: standin.Fixed(d.ZoneDelay), ApplyDelay: options.ApplyDelay,
			Seed: options.Seed + uint64(group*d.Databases+i),
		})
	}
	return settings
}

// Close stops everything.
func (c *Cluster) Close() error {
	c.mu.Lock()
	for _, relay := range c.links {
		relay.Close()
	}
	c.links = make(map[linkKey]*faultnet.Relay)
	c.mu.Unlock()
	for _, group := range c.Groups {
		for _, db := range group {
			db.Kill()
		}
	}
	c.cancel()
	return <-c.served
}

// Inventory describes zones, hosts and groups; customers are left to the
// scenario.
func (c *Cluster) Inventory() config.Inventory {
	d := c.Deployment
	inventory := config.Inventory{Zones: d.zones(), Hosts: d.hosts()}
	for g, databases := range c.Groups {
		group := config.Group{Name: d.Groups[g], Durability: config.DurabilityReplicated}
		for i, db := range databases {
			group.Servers = append(group.Servers, config.Server{
				Name: db.Name(), Zone: d.databaseZone(g, i), Address: db.Address(),
				Slots: d.Slots, Connections: d.Connections,
			})
		}
		inventory.Groups = append(inventory.Groups, group)
	}
	return inventory
}

// Database returns the database of the name, nil when there is none.
func (c *Cluster) Database(name string) *standin.Database {
	for _, group := range c.Groups {
		for _, db := range group {
			if db.Name() == name {
				return db
			}
		}
	}
	return nil
}

// Link returns the address under which a process in one zone reaches a target
// in another, through a relay with the deployment's latency. The places
// PlacePlatform and PlaceClients may stand for a zone.
func (c *Cluster) Link(from, to, target string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := linkKey{from, to, target}
	if relay, ok := c.links[key]; ok {
		return relay.Address(), nil
	}
	relay, err := faultnet.Listen("", target)
	if err != nil {
		return "", err
	}
	relay.SetDelay(c.latency(from, to))
	relay.Set(c.modes[pairOf(from, to)])
	c.links[key] = relay
	return relay.Address(), nil
}

func (c *Cluster) latency(from, to string) time.Duration {
	switch {
	case from == PlaceClients || to == PlaceClients:
		return c.Deployment.ClientDelay
	case from == to || from == PlacePlatform || to == PlacePlatform:
		return 0
	}
	return c.Deployment.ZoneDelay
}

func pairOf(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetLinks sets the mode of every link between two places, in both directions,
// and of links that are made later. Replication between databases does not
// pass links; Partition cuts it too.
func (c *Cluster) SetLinks(a, b string, mode faultnet.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.modes[pairOf(a, b)] = mode
	for key, relay := range c.links {
		if pairOf(key.from, key.to) == pairOf(a, b) {
			relay.Set(mode)
		}
	}
}

// Partition cuts a zone off from all other zones, and from the platform and the
// clients, in the given mode: links and replication. Heal ends it.
func (c *Cluster) Partition(zone string, mode faultnet.Mode) {
	for _, other := range append([]string{PlacePlatform, PlaceClients}, c.Deployment.Zones...) {
		if other != zone {
			c.SetLinks(zone, other, mode)
		}
	}
	for _, group := range c.Inventory().Groups {
		for _, inside := range group.Servers {
			for _, outside := range group.Servers {
				if inside.Zone == zone && outside.Zone != zone {
					c.Database(inside.Name).Isolate(outside.Name)
				}
			}
		}
	}
}

// Heal ends every partition.
func (c *Cluster) Heal() {
	c.mu.Lock()
	clear(c.modes)
	for _, relay := range c.links {
		relay.Set(faultnet.Pass)
	}
	c.mu.Unlock()
	for _, group := range c.Groups {
		for _, db := range group {
			db.Rejoin()
		}
	}
}
