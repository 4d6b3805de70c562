package host

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func exampleSettings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/line-host.yaml")
	assert.NilError(t, err)
	return string(data)
}

func loadSettingsText(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := LoadSettings(path)
	return err
}

// Guards against a host that starts with invalid settings, and against an error
// that does not name the setting.
func TestInvalidSettingIsNamed(t *testing.T) {
	assert.NilError(t, loadSettingsText(t, exampleSettings(t)))
	for _, c := range []struct{ from, to, setting string }{
		{"name: kolkata-1", "name: ''", "name"},
		{"zone: kolkata", "zone: delhi", "zone"},
		{"10.0.0.1:7500", "10.0.0.1", "listen.client"},
		{"10.0.0.1:7402", "", "listen.ready"},
		{"store: 10.0.9.1:7300", "store: nowhere", "store"},
		{"promotion: 10.0.9.2:7300", "", "promotion"},
		{"key_grace: 5s", "key_grace: 50ms", "key_grace"},
		{"key_grace: 5s", "key_grace: 5", "key_grace"},
		{"stop_grace: 6s", "", "stop_grace"},
		{"rate_slack: 20", "rate_slack: -1", "rate_slack"},
		{"memory_mb: 284", "memory_mb: 0", "memory_mb"},
		{"log_level: info", "log_level: info\nport: 7", "port"},
	} {
		err := loadSettingsText(t, strings.Replace(exampleSettings(t), c.from, c.to, 1))
		assert.ErrorContains(t, err, c.setting, "%s for %s", c.to, c.from)
	}
}
