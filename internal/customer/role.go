package customer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MinterShards is the number of minter roles of a zone. A hash of the customer's name
// assigns each customer to one of them.
const MinterShards = 4

// MinterRole returns the role whose holder runs the customer's Minter in the zone.
func MinterRole(zone, customer string) string {
	return minterRole(zone, xxhash.Sum64String(customer)%MinterShards)
}

// MinterRoles returns all minter roles of a zone.
func MinterRoles(zone string) []string {
	roles := make([]string, MinterShards)
	for i := range roles {
		roles[i] = minterRole(zone, uint64(i))
	}
	return roles
}

func minterRole(zone string, shard uint64) string {
	return "rate/" + zone + "/" + strconv.FormatUint(shard, 10)
}
