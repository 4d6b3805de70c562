package customer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RateShards is the number of minter roles of a zone. Customers are spread
// over them by hash.
const RateShards = 4

// MinterRole returns the role that mints a customer's tokens in a zone.
func MinterRole(zone, customer string) string {
	return minterRole(zone, xxhash.Sum64String(customer)%RateShards)
}

// MinterRoles returns all minter roles of a zone.
func MinterRoles(zone string) []string {
	roles := make([]string, RateShards)
	for i := range roles {
		roles[i] = minterRole(zone, uint64(i))
	}
	return roles
}

func minterRole(zone string, shard uint64) string {
	return "rate/" + zone + "/" + strconv.FormatUint(shard, 10)
}
