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

// Clients is the name under which a Network treats the callers as a zone.
const Clients = "clients"

// Latency holds the one-way delays of the network.
type Latency struct {
	// Zones is the delay between two availability zones.
	Zones time.Duration
	// Clients is the delay between callers and hosts.
	Clients time.Duration
}

// Network passes every connection between zones, and between callers and hosts,
// through relays that add delay and can cut the connection.
type Network struct {
	latency Latency
	// countBytes makes the dialers add the traffic of their connections to bytes.
	countBytes bool
	bytes      atomic.Int64

	mu            sync.Mutex
	zoneByAddress map[string]string
	relays        map[linkKey]*faultnet.Relay
	modes         map[zonePair]faultnet.Mode
}

type linkKey struct{ from, target string }

type zonePair struct{ a, b string }

func newZonePair(a, b string) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a, b}
}

func newNetwork(latency Latency) *Network {
	return &Network{latency: latency, zoneByAddress: map[string]string{}, relays: map[linkKey]*faultnet.Relay{}, modes: map[zonePair]faultnet.Mode{}}
}

// setZone records the zone of an address.
func (n *Network) setZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneByAddress[address] = zone
}

// dialer returns the dial function of a process in a zone.
func (n *Network) dialer(zone string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		via, err := n.dialAddress(zone, address)
		if err != nil {
			return nil, err
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", via)
		if err != nil || !n.countBytes {
			return conn, err
		}
		return countingConn{conn, &n.bytes}, nil
	}
}

// Bytes returns the number of bytes sent and received on the connections that
// hosts opened to hosts and databases. It stays 0 unless Settings.CountBytes is
// set.
func (n *Network) Bytes() int64 { return n.bytes.Load() }

// countingConn adds the bytes read from and written to a connection to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// dialAddress returns the address that a process in zone from dials to reach the
// target: that of a relay, or the target itself if it is in the same zone or its
// zone is unknown.
func (n *Network) dialAddress(from, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, hasZone := n.zoneByAddress[target]
	if !hasZone || to == from {
		return target, nil
	}
	key := linkKey{from, target}
	if r, ok := n.relays[key]; ok {
		return r.Address(), nil
	}
	relay, err := faultnet.Listen("", target)
	if err != nil {
		return "", errors.Wrapf(err, "start relay to %s", target)
	}
	relay.SetDelay(n.delayFrom(from))
	relay.SetMode(n.modes[newZonePair(from, to)])
	n.relays[key] = relay
	return relay.Address(), nil
}

func (n *Network) delayFrom(from string) time.Duration {
	if from == Clients {
		return n.latency.Clients
	}
	return n.latency.Zones
}

// SetMode sets the mode of every present and future link between two zones, in both
// directions.
func (n *Network) SetMode(a, b string, mode faultnet.Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.modes[newZonePair(a, b)] = mode
	for key, relay := range n.relays {
		if newZonePair(key.from, n.zoneByAddress[key.target]) == newZonePair(a, b) {
			relay.SetMode(mode)
		}
	}
}

// ForEachRelay calls f for the relay of each link from one zone to another.
func (n *Network) ForEachRelay(from, to string, f func(*faultnet.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, relay := range n.relays {
		if key.from == from && n.zoneByAddress[key.target] == to {
			f(relay)
		}
	}
}

// restoreAllLinks sets the mode of every link to faultnet.Pass.
func (n *Network) restoreAllLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.modes)
	for _, relay := range n.relays {
		relay.SetMode(faultnet.Pass)
	}
}

func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, relay := range n.relays {
		relay.Close()
	}
}
