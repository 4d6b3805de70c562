package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Configuration is a decoded version of the operator's configuration.
type Configuration struct {
	Document *config.Document
	Groups   map[string]GroupSettings
	// IdleTransactionTimeout is how long a transaction may stay idle; 0 for no limit.
	IdleTransactionTimeout time.Duration
}

// GroupSettings are the limits of a group's servers.
type GroupSettings struct {
	// Connections is the limit of each server.
	Connections int
	// ColdRate is the number of requests per second that a server accepts while
	// it is cold, that is, while it warms up; 0 for no limit.
	ColdRate float64
	// SyncReplicas is the number of replicas that have received a commit when the
	// primary acknowledges it; 0 if it does not wait for replicas.
	SyncReplicas int
}

// Server is a registered backend server.
type Server struct {
	config.Server
	Group string
	// Incarnation distinguishes successive servers that are registered under the same
	// name.
	Incarnation int64
	// Sequence grows with the entries of an incarnation.
	Sequence int64
	// ReportsPrimary is true if the server itself reports that it is the primary.
	ReportsPrimary bool
	// ColdRemaining is the time for which the server stays cold, as it reported.
	// ColdUntil is the end of that time on the clock of this host.
	ColdRemaining, ColdUntil time.Duration
	// ColdRate is the number of requests per second that the server accepts
	// until ColdUntil; 0 for no limit.
	ColdRate float64
}

// Usable reports whether the server may get new work.
func (s Server) Usable(zonesOut []string) bool {
	return !s.Leaving && !slices.Contains(zonesOut, s.Zone)
}

// Sources names the spaces of the store that hold the configuration and the
// registry, and decodes their rows.
type Sources interface {
	ConfigurationSpace() string
	IsConfiguration(key string) bool
	// ZoneOut returns the zone that a row of the configuration space marks as
	// out of service.
	ZoneOut(key string) (zone string, ok bool)
	DecodeConfiguration(value []byte) (*Configuration, error)
	RegistrySpace() string
	DecodeServer(key string, value []byte) (Server, error)
}

// Snapshot is a consistent view of the configuration and the registry. It is
// immutable.
type Snapshot struct {
	*Configuration
	ZonesOut            []string
	servers             map[string]Server
	groups              map[string][]Server
	customerByKeyDigest map[string]string // SHA-256 digest of the key to customer name
}

// Version returns the version of the configuration, 0 before the first one has been
// read.
func (s *Snapshot) Version() config.Version {
	if s.Configuration == nil {
		return 0
	}
	return s.Document.Version
}

// defaultIdleTransactionTimeout is the limit on the idle time of a transaction if the
// configuration sets none.
const defaultIdleTransactionTimeout = 30 * time.Second

// IdleLimit returns how long a transaction may stay idle.
func (s *Snapshot) IdleLimit() time.Duration {
	if s.Configuration == nil || s.IdleTransactionTimeout <= 0 {
		return defaultIdleTransactionTimeout
	}
	return s.IdleTransactionTimeout
}

// Route returns the route with the given name.
func (s *Snapshot) Route(name string) (config.Route, bool) {
	if s.Configuration == nil {
		return config.Route{}, false
	}
	return s.Document.Route(name)
}

// CustomerOf returns the name of the customer that owns the key.
func (s *Snapshot) CustomerOf(key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	c, ok := s.customerByKeyDigest[hex.EncodeToString(digest[:])]
	return c, ok
}

// Server returns the registered server with the given name.
func (s *Snapshot) Server(name string) (Server, bool) {
	server, ok := s.servers[name]
	return server, ok
}

// Group returns the registered servers of a group, sorted by name.
func (s *Snapshot) Group(name string) []Server { return s.groups[name] }

// SyncReplicas returns the number of synchronous replicas of a group.
func (s *Snapshot) SyncReplicas(group string) int {
	g, _ := s.groupSettings(group)
	return g.SyncReplicas
}

// GroupNames returns the names of the configured groups.
func (s *Snapshot) GroupNames() []string {
	if s.Configuration == nil {
		return nil
	}
	names := make([]string, 0, len(s.Document.Inventory.Groups))
	for _, g := range s.Document.Inventory.Groups {
		names = append(names, g.Name)
	}
	return names
}

// Catalog builds snapshots from the rows of the store. It is not safe for
// concurrent use.
type Catalog struct {
	sources  Sources
	zones    []string
	window   customer.Window
	current  *Configuration
	zonesOut map[string]bool
	// zonesKept holds the zones that stay out of service until a time although the rows
	// that say so may be lost.
	zonesKept map[string]time.Duration
	servers   map[string]Server
	// enteringEra is set by EnterRegistryEra.
	enteringEra bool
	// missingSince holds the time since which a server has had no registry
	// entry.
	missingSince map[string]time.Duration
	// skippedRows are the rows that could not be decoded since the last call of
	// TakeSkippedRows; skipped holds those that were reported before.
	skippedRows []store.SkippedRow
	skipped     store.SkippedRows
}

// missingServerGrace is how long a server without a registry entry remains in
// use. Entries that expire while the store is unavailable return within about
// two seconds after the store does.
const missingServerGrace = 2200 * time.Millisecond

// New returns an empty Catalog. Zones are all zones of the deployment. The rate
// limits of the configuration apply over the given window.
func New(sources Sources, zones []string, window customer.Window) *Catalog {
	return &Catalog{sources: sources, zones: zones, window: window, zonesOut: map[string]bool{}, zonesKept: map[string]time.Duration{}, servers: map[string]Server{}, missingSince: map[string]time.Duration{}}
}

// ApplyConfigurationRows applies changes of the configuration space. If full is set,
// the rows are the complete content of the space. A version that is not newer
// than the current one is ignored, so that the configuration never reverts.
func (c *Catalog) ApplyConfigurationRows(rows []store.Change, full bool) {
	if full {
		clear(c.zonesOut)
	}
	for _, r := range rows {
		if zone, ok := c.sources.ZoneOut(r.Key); ok {
			delete(c.zonesKept, zone)
			if r.Removed {
				delete(c.zonesOut, zone)
			} else {
				c.zonesOut[zone] = true
			}
			continue
		}
		if r.Removed || !c.sources.IsConfiguration(r.Key) {
			continue
		}
		var next *Configuration
		err := r.Err
		if err == nil {
			next, err = c.sources.DecodeConfiguration(r.Value)
		}
		if err != nil {
			c.skip(r, err)
			continue
		}
		if c.current == nil || next.Document.Version > c.current.Document.Version {
			c.completeDocument(next.Document)
			c.current = next
		}
	}
}

// ApplyRegistryRows applies changes of the registry. If full is set, the rows are
// the complete registry. A server whose entry can no longer be decoded counts as
// missing: if it lives, it writes its entry again.
func (c *Catalog) ApplyRegistryRows(now time.Duration, rows []store.Change, full bool) {
	if full {
		for name := range c.servers {
			c.markMissing(now, name)
		}
	}
	prefix := c.sources.RegistrySpace() + "/"
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, prefix)
		if r.Removed {
			c.markMissing(now, name)
			continue
		}
		var s Server
		err := r.Err
		if err == nil {
			s, err = c.sources.DecodeServer(r.Key, r.Value)
		}
		if err != nil {
			c.skip(r, err)
			c.markMissing(now, name)
			continue
		}
		delete(c.missingSince, name)
		if c.enteringEra && c.isOlderEntry(name, s) {
			continue
		}
		if s.ColdRemaining > 0 {
			s.ColdUntil = now + s.ColdRemaining
		}
		c.servers[name] = s
	}
	c.enteringEra = false
}

// skip records a row that cannot be decoded, unless this revision was recorded before.
func (c *Catalog) skip(r store.Change, err error) {
	if c.skipped.IsNew(r.Key, r.Revision) {
		c.skippedRows = append(c.skippedRows, store.SkippedRow{Key: r.Key, Revision: r.Revision, Err: err})
	}
}

func (c *Catalog) markMissing(now time.Duration, name string) {
	if _, known := c.servers[name]; !known {
		return
	}
	if _, marked := c.missingSince[name]; !marked {
		c.missingSince[name] = now
	}
}

// RemoveMissingServers removes the servers that have been missing for
// missingServerGrace, and the zones that have been kept out of service for long enough. It
// reports whether there were any.
func (c *Catalog) RemoveMissingServers(now time.Duration) bool {
	removed := c.dropKeptZones(now)
	for name, since := range c.missingSince {
		if now-since >= missingServerGrace {
			delete(c.missingSince, name)
			delete(c.servers, name)
			removed = true
		}
	}
	return removed
}

// TakeSkippedRows returns the rows skipped since the last call, and removes them.
func (c *Catalog) TakeSkippedRows() []store.SkippedRow {
	out := c.skippedRows
	c.skippedRows = nil
	return out
}

// Snapshot returns a snapshot of the current state.
func (c *Catalog) Snapshot() *Snapshot {
	s := &Snapshot{
		servers:             make(map[string]Server, len(c.servers)),
		groups:              map[string][]Server{},
		customerByKeyDigest: map[string]string{},
	}
	for zone := range c.zonesOut {
		s.ZonesOut = append(s.ZonesOut, zone)
	}
	for zone := range c.zonesKept {
		if !c.zonesOut[zone] {
			s.ZonesOut = append(s.ZonesOut, zone)
		}
	}
	slices.Sort(s.ZonesOut)
	if c.current != nil {
		s.Configuration = c.current
		s.indexKeys()
	}
	for name, server := range c.servers {
		g, known := s.groupSettings(server.Group)
		if !known {
			continue // the configuration does not contain the group
		}
		server.Connections, server.ColdRate = g.Connections, g.ColdRate
		s.servers[name] = server
		s.groups[server.Group] = append(s.groups[server.Group], server)
	}
	for _, g := range s.groups {
		slices.SortFunc(g, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	}
	return s
}

// completeDocument adds the zones of the deployment, among which the rate
// limits are divided, to a new document and converts the limits to token
// buckets.
func (c *Catalog) completeDocument(doc *config.Document) {
	for _, z := range c.zones {
		doc.Inventory.Zones = append(doc.Inventory.Zones, config.Zone{Name: z})
	}
	for i, l := range doc.Rules.Limits {
		b := c.window.Bucket(customer.Limit{Rate: l.Rate, Burst: l.Burst})
		doc.Rules.Limits[i].Rate, doc.Rules.Limits[i].Burst = b.Rate, b.Burst
	}
	doc.BuildIndex()
}

func (s *Snapshot) groupSettings(group string) (GroupSettings, bool) {
	if s.Configuration == nil {
		return GroupSettings{}, false
	}
	g, ok := s.Groups[group]
	return g, ok
}

func (s *Snapshot) indexKeys() {
	for _, c := range s.Document.Inventory.Customers {
		for _, k := range c.Keys {
			s.customerByKeyDigest[k.SHA256] = c.Name
		}
	}
}
