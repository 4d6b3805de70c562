package catalog

import "time"

// missingZoneGrace is how long a zone stays out of service after the store has come back
// from an older copy without the row of the zone. The operator writes it again within that
// time if it still holds.
const missingZoneGrace = 10 * time.Second

// EnterConfigurationEra records that the next call of ApplyConfigurationRows has all rows
// of a new era of the store. Zones whose rows are missing in it stay out of service for
// missingZoneGrace.
func (c *Catalog) EnterConfigurationEra(now time.Duration) {
	for zone := range c.zonesOut {
		c.zonesKept[zone] = now + missingZoneGrace
	}
}

// EnterRegistryEra records that the next call of ApplyRegistryRows has all rows of a new era
// of the store. Entries in it that are older than those known are ignored.
func (c *Catalog) EnterRegistryEra() { c.enteringEra = true }

// isOlderEntry reports whether an entry is older than the known one of the same name.
func (c *Catalog) isOlderEntry(name string, s Server) bool {
	old, known := c.servers[name]
	if !known || s.Incarnation > old.Incarnation {
		return false
	}
	return s.Incarnation < old.Incarnation || s.Sequence < old.Sequence
}

// dropKeptZones drops the zones that are no longer kept out of service, and reports whether
// there were any.
func (c *Catalog) dropKeptZones(now time.Duration) bool {
	dropped := false
	for zone, until := range c.zonesKept {
		if now >= until {
			delete(c.zonesKept, zone)
			dropped = true
		}
	}
	return dropped
}
