package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// fakeSources decodes "version key" as a configuration with one customer, and
// "group zone" as a server.
type fakeSources struct{}

func (fakeSources) ConfigurationSpace() string        { return "conf" }
func (fakeSources) RegistrySpace() string             { return "reg" }
func (fakeSources) IsConfiguration(key string) bool   { return key == "conf/current" }
func (fakeSources) ZoneOut(key string) (string, bool) { return strings.CutPrefix(key, "conf/out/") }

func (fakeSources) DecodeConfiguration(value []byte) (*Configuration, error) {
	v, key, _ := strings.Cut(string(value), " ")
	n, err := strconv.Atoi(v)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256([]byte(key))
	doc := &config.Document{Version: config.Version(n)}
	doc.Inventory.Groups = []config.Group{{Name: "g"}}
	doc.Inventory.Customers = []config.Customer{{Name: "c", Keys: []config.KeyRef{{SHA256: hex.EncodeToString(digest[:])}}}}
	doc.Rules.Limits = []config.Limit{{Customer: "c", Rate: 20, Burst: 20}}
	return &Configuration{Document: doc, Groups: map[string]GroupSettings{"g": {Connections: 30}}}, nil
}

func (fakeSources) DecodeServer(key string, value []byte) (Server, error) {
	group, zone, ok := strings.Cut(string(value), " ")
	if !ok {
		return Server{}, errors.New("malformed")
	}
	s := Server{Group: group, Server: config.Server{Name: strings.TrimPrefix(key, "reg/"), Zone: zone}}
	if f := strings.Fields(zone); len(f) == 4 { // zone, incarnation, sequence and state
		s.Zone, s.Leaving = f[0], f[3] == "leaving"
		s.Incarnation, _ = strconv.ParseInt(f[1], 10, 64)
		s.Sequence, _ = strconv.ParseInt(f[2], 10, 64)
	}
	return s, nil
}

func row(key, value string) store.Change {
	return store.Change{Row: store.Row{Key: key, Value: []byte(value)}}
}

func newCatalog() *Catalog {
	return New(fakeSources{}, []string{"z1", "z2"}, customer.Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20})
}

// Guards against a configuration that reverts to an older version, also when
// the whole space is read again from a store that returns an older state.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	c := newCatalog()
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "7 new")}, true)
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "5 old")}, true)
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "x")}, false)
	s := c.Snapshot()
	assert.Equal(t, s.Version(), config.Version(7))
	_, ok := s.CustomerOf("new")
	assert.Assert(t, ok)
	_, ok = s.CustomerOf("old")
	assert.Assert(t, !ok)
	assert.Equal(t, len(c.TakeSkippedRows()), 1)
}

// Guards against requests sent to a zone that is out of service, and against a
// zone that stays out of service after the operator has restored it.
func TestServersOfZoneOutAreNotUsable(t *testing.T) {
	c := newCatalog()
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "1 k"), row("conf/out/z1", "{}")}, true)
	c.ApplyRegistryRows(0, []store.Change{row("reg/a", "g z1"), row("reg/b", "g z2")}, true)
	s := c.Snapshot()
	a, _ := s.Server("a")
	b, _ := s.Server("b")
	assert.Assert(t, !a.Usable(s.ZonesOut) && b.Usable(s.ZonesOut))
	assert.Equal(t, a.Connections, 30)
	c.ApplyConfigurationRows([]store.Change{{Row: store.Row{Key: "conf/out/z1"}, Removed: true}}, false)
	s = c.Snapshot()
	assert.Assert(t, a.Usable(s.ZonesOut))
}

// Guards against servers that disappear while the store is unavailable, against
// malformed entries that are used, and against removed servers that stay.
func TestMissingAndMalformedRegistryEntries(t *testing.T) {
	c := newCatalog()
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "1 k")}, true)
	c.ApplyRegistryRows(0, []store.Change{row("reg/a", "g z1"), row("reg/b", "g z2"), row("reg/c", "malformed"), row("reg/d", "unknown z1")}, true)
	assert.Equal(t, len(c.Snapshot().Group("g")), 2)
	gone := []store.Change{{Row: store.Row{Key: "reg/a"}, Removed: true}, {Row: store.Row{Key: "reg/b"}, Removed: true}}
	c.ApplyRegistryRows(time.Second, gone, false)
	assert.Assert(t, !c.RemoveMissingServers(2*time.Second))
	c.ApplyRegistryRows(2*time.Second, []store.Change{row("reg/a", "g z1")}, false)
	assert.Assert(t, c.RemoveMissingServers(time.Second+missingServerGrace))
	_, a := c.Snapshot().Server("a")
	_, b := c.Snapshot().Server("b")
	assert.Assert(t, a && !b)
	// A server whose entry becomes malformed counts as missing. It is in use until then,
	// because another writer's entry says nothing about the server.
	c.ApplyRegistryRows(9*time.Second, []store.Change{row("reg/a", "malformed")}, false)
	assert.Equal(t, len(c.Snapshot().Group("g")), 1)
	assert.Assert(t, !c.RemoveMissingServers(9*time.Second+missingServerGrace-1))
	c.ApplyRegistryRows(10*time.Second, []store.Change{row("reg/a", "broken")}, false)
	assert.Assert(t, c.RemoveMissingServers(9*time.Second+missingServerGrace))
	assert.Equal(t, len(c.Snapshot().Group("g")), 0)
}

// Guards against refusals of a steady load that is within the limit of every
// window, and against admitting more than the limit of a window.
func TestLimitsHoldOverWindows(t *testing.T) {
	c := newCatalog()
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "1 k")}, true)
	l, ok := c.Snapshot().Document.Limit("c")
	assert.Assert(t, ok)
	const window, total = 5.0, 20*5.0 + 20
	assert.Equal(t, l.Rate*window, total)
	assert.Assert(t, l.Rate*window+l.Burst <= total*1.1+20)
}
