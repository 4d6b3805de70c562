package cli

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a replay that runs an empty plan instead of the recorded one.
func TestLoadPlanReturnsTheRecordedPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "result.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"plan":{"seed":77},"breaches":["LOST"]}`), 0o600))
	p, err := loadPlan(path)
	assert.NilError(t, err)
	assert.Equal(t, p.Seed, uint64(77))
	assert.NilError(t, os.WriteFile(path, []byte(`{"plan":`), 0o600))
	_, err = loadPlan(path)
	assert.ErrorContains(t, err, "decode result")
}
