package limit

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Guards against a settlement for a minter of an earlier era of the store that ends a grant
// of its successor, because versions, and with them the low bits of epochs, repeat.
func TestGrantIDsOfErasDiffer(t *testing.T) {
	seen := map[uint64]bool{}
	for era := range store.Era(4) {
		for version := range uint64(50) {
			first := uint64(firstGrant(uint64(store.NewRevision(era, version))))
			assert.Assert(t, !seen[first>>epochShift], "era %d version %d", era, version)
			seen[first>>epochShift] = true
		}
	}
}
