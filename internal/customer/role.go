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
	shard := xxhash.Sum64String(customer) % RateShards
	return "rate/" + zone + "/" + strconv.FormatUint(shard, 10)
}
