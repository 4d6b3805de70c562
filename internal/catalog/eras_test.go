package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Guards against new work for a zone whose evacuation the store has lost, and against a zone
// that stays out of service for good.
func TestZoneOutStaysInNewEra(t *testing.T) {
	zones := func(c *Catalog) int { return len(c.Snapshot().ZonesOut) }
	enter := func(rows ...store.Change) *Catalog {
		c := newCatalog()
		c.ApplyConfigurationRows([]store.Change{row("conf/current", "7 new"), row("conf/out/z1", "")}, true)
		c.EnterConfigurationEra(time.Minute)
		c.ApplyConfigurationRows(rows, true)
		c.RemoveMissingServers(time.Minute + missingZoneGrace - 1)
		return c
	}
	c := enter(row("conf/current", "5 old"))
	assert.Equal(t, zones(c), 1)
	assert.Equal(t, c.Snapshot().Version(), config.Version(7))
	assert.Assert(t, c.RemoveMissingServers(time.Minute+missingZoneGrace) && zones(c) == 0)
	c = enter(row("conf/out/z1", "")) // the row is in the copy
	c.RemoveMissingServers(time.Minute + missingZoneGrace)
	assert.Equal(t, zones(c), 1)
	c = enter()
	c.ApplyConfigurationRows([]store.Change{row("conf/out/z1", "")}, false) // written again
	c.RemoveMissingServers(time.Minute + missingZoneGrace)
	assert.Equal(t, zones(c), 1)
	c.ApplyConfigurationRows([]store.Change{{Row: store.Row{Key: "conf/out/z1"}, Removed: true}}, false)
	assert.Equal(t, zones(c), 0)
}

// Guards against a leaving server that gets new work because the store came back with its
// earlier entry, and against an entry that is ignored although it is newer.
func TestRegistryEntriesDoNotGoBackInNewEra(t *testing.T) {
	c := newCatalog()
	c.ApplyConfigurationRows([]store.Change{row("conf/current", "7 new")}, true)
	leaving := func() bool {
		s, ok := c.Snapshot().Server("s")
		assert.Assert(t, ok)
		return s.Leaving
	}
	c.ApplyRegistryRows(0, []store.Change{row("reg/s", "g z1 100 9 leaving")}, true)
	for _, older := range []string{"g z1 100 8 ready", "g z1 99 12 ready"} {
		c.EnterRegistryEra()
		c.ApplyRegistryRows(0, []store.Change{row("reg/s", older)}, true)
		assert.Assert(t, leaving(), older)
	}
	c.EnterRegistryEra()
	c.ApplyRegistryRows(0, []store.Change{row("reg/s", "g z1 101 1 ready")}, true)
	assert.Assert(t, !leaving(), "a server that started again is ignored")
	// Another writer's entry must not hide the server's own ones.
	c.ApplyRegistryRows(0, []store.Change{row("reg/s", "g z1 900 900 leaving")}, false)
	c.ApplyRegistryRows(0, []store.Change{row("reg/s", "g z1 101 2 ready")}, false)
	assert.Assert(t, !leaving())
}
