package bench

import (
	"fmt"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Deployment is the size and the network of one deployment. See docs/design.md,
// section 1.3.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	Groups []string
	// Databases is the number of databases of each group.
	Databases    int
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	// ZoneDelay is one-way between zones, ClientDelay one-way to clients.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Hosts       int
	Customers   int
}

// SundarbanGlow is the deployment for batch release records.
func SundarbanGlow() Deployment {
	return Deployment{
		Name: "sundarban-glow", Region: "in-east",
		Zones:     []string{"kolkata", "howrah", "durgapur", "siliguri"},
		Groups:    []string{"release-1", "release-2", "release-3"},
		Databases: 3, Slots: 3, Connections: 20, ConnectDelay: 10 * time.Millisecond,
		ZoneDelay: time.Millisecond, ClientDelay: time.Millisecond,
		Hosts: 8, Customers: 8,
	}
}

// KandyanLiftHaul is the deployment for equipment hire.
func KandyanLiftHaul() Deployment {
	return Deployment{
		Name: "kandyan-lift-haul", Region: "lk-west",
		Zones:     []string{"lk-west-1", "lk-west-2", "lk-west-3", "lk-west-4"},
		Groups:    []string{"bookings", "fleet", "dispatch"},
		Databases: 3, Slots: 2, Connections: 35, ConnectDelay: 30 * time.Millisecond,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond,
		Hosts: 8, Customers: 8,
	}
}

// HostName returns the name of an entry host; hosts spread over the zones.
func (d Deployment) HostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

// HostZone returns the zone of an entry host.
func (d Deployment) HostZone(i int) string { return d.Zones[i%len(d.Zones)] }

func (d Deployment) databaseName(group, i int) string {
	return fmt.Sprintf("%s-%c", d.Groups[group], 'a'+rune(i))
}

// databaseZone spreads the databases of a group over zones and starts each
// group one zone further, so that the primaries are spread too.
func (d Deployment) databaseZone(group, i int) string {
	return d.Zones[(group+i)%len(d.Zones)]
}

// zones returns the inventory's zones.
func (d Deployment) zones() []config.Zone {
	var zones []config.Zone
	for _, name := range d.Zones {
		zones = append(zones, config.Zone{Name: name, Region: d.Region})
	}
	return zones
}

func (d Deployment) hosts() []config.Host {
	var hosts []config.Host
	for i := range d.Hosts {
		hosts = append(hosts, config.Host{Name: d.HostName(i), Zone: d.HostZone(i)})
	}
	return hosts
}
