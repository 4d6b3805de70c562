package cluster

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// Clients stands for the zone of the callers in a Network.
const Clients = "clients"

// Latency describes one-way delays of the network.
type Latency struct {
	// Zones is the delay between two availability zones.
	Zones time.Duration
	// Clients is the delay between callers and hosts.
	Clients time.Duration
}

// Network carries every connection between zones, and between callers and
// hosts, through relays that delay and cut.
type Network struct {
	latency Latency
	// counting makes the dialers count bytes.
	counting bool
	bytes    atomic.Int64

	mu     sync.Mutex
	zones  map[string]string // by address
	relays map[linkKey]*faultnet.Relay
	modes  map[zonePair]faultnet.Mode
}

type linkKey struct{ from, target string }

type zonePair struct{ a, b string }

func pairOf(a, b string) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a, b}
}

func newNetwork(latency Latency) *Network {
	return &Network{latency: latency, zones: map[string]string{}, relays: map[linkKey]*faultnet.Relay{}, modes: map[zonePair]faultnet.Mode{}}
}

// place notes the zone of an address.
func (n *Network) place(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// dialer returns the dial function of a process in a zone.
func (n *Network) dialer(zone string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		via, err := n.link(zone, address)
		if err != nil {
			return nil, err
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", via)
		if err != nil || !n.counting {
			return conn, err
		}
		return countedConn{conn, &n.bytes}, nil
	}
}

// Bytes returns the number of bytes that passed in both directions through the
// connections that hosts opened to hosts and databases.
func (n *Network) Bytes() int64 { return n.bytes.Load() }

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// link returns the address under which a process in the zone reaches the
// target. Connections within a zone do not pass a relay.
func (n *Network) link(from, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.zones[target]
	if !known || to == from {
		return target, nil
	}
	key := linkKey{from, target}
	if r, ok := n.relays[key]; ok {
		return r.Address(), nil
	}
	relay, err := faultnet.Listen("", target)
	if err != nil {
		return "", errors.Wrapf(err, "relay to %s", target)
	}
	relay.SetDelay(n.delay(from))
	relay.Set(n.modes[pairOf(from, to)])
	n.relays[key] = relay
	return relay.Address(), nil
}

func (n *Network) delay(from string) time.Duration {
	if from == Clients {
		return n.latency.Clients
	}
	return n.latency.Zones
}

// Set sets the mode of every link between two zones, in both directions, and of
// links that are made later.
func (n *Network) Set(a, b string, mode faultnet.Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modes[pairOf(a, b)] = mode
	for key, relay := range n.relays {
		if pairOf(key.from, n.zones[key.target]) == pairOf(a, b) {
			relay.Set(mode)
		}
	}
}

// Relays calls f for each link from one zone to another.
func (n *Network) Relays(from, to string, f func(*faultnet.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, relay := range n.relays {
		if key.from == from && n.zones[key.target] == to {
			f(relay)
		}
	}
}

func (n *Network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.modes)
	for _, relay := range n.relays {
		relay.Set(faultnet.Pass)
	}
}

func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, relay := range n.relays {
		relay.Close()
	}
}
