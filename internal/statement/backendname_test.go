package statement

import (
	"crypto/sha256"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against names that a backend server cuts or splits, so that two statements share
// one, and against a name that does not hold the whole digest.
func TestBackendNameHoldsTheWholeDigest(t *testing.T) {
	const maxPostgreSQLName = 63
	valid := regexp.MustCompile(`^w[a-z0-9]+$`)
	content := Digest(sha256.Sum256([]byte("q2c")))
	name := BackendName("w", content)
	assert.Assert(t, len(name) <= maxPostgreSQLName && valid.MatchString(name), name)
	for i := range content {
		for bit := range 8 {
			other := content
			other[i] ^= 1 << bit
			assert.Assert(t, BackendName("w", other) != name, "byte %d bit %d", i, bit)
		}
	}
	assert.Assert(t, BackendName("r", content) != name)
}
