package host

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
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
		{"usage_window: 5s", "usage_window: 5ms", "usage_window"},
		{"usage_window: 5s", "usage_window: -5s", "usage_window"},
		{"usage_late: 10s", "", "usage_late"},
		{"usage_lease: 3s", "usage_lease: -1s", "usage_lease"},
		{"memory_mb: 284", "memory_mb: 0", "memory_mb"},
		{"log_level: info", "log_level: info\nport: 7", "port"},
		{"log_level: info", "log_level: loud", "log_level"},
	} {
		err := loadSettingsText(t, strings.Replace(exampleSettings(t), c.from, c.to, 1))
		assert.ErrorContains(t, err, c.setting, "%s for %s", c.to, c.from)
	}
}

// reloadTest is a host of which only the parts exist that a reload uses.
type reloadTest struct {
	*Host
	lines bytes.Buffer
}

func newReloadTest(t *testing.T) *reloadTest {
	x := &reloadTest{}
	path := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(exampleSettings(t)), 0o600))
	s, err := LoadSettings(path)
	assert.NilError(t, err)
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	x.Host = &Host{settings: s, counters: telemetry.NewCounters(), log: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &x.lines}}}
	return x
}

// reloadText reloads the example settings after a replacement.
func (x *reloadTest) reloadText(t *testing.T, from, to string) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(exampleSettings(t), from, to, 1)), 0o600))
	x.reload(func() (Settings, error) { return LoadSettings(path) })
}

// Guards against a reload that does not change what can change at run time.
func TestReloadChangesReloadableSettings(t *testing.T) {
	x := newReloadTest(t)
	x.reloadText(t, "log_level: info", "log_level: debug")
	assert.Equal(t, x.log.Level, log.DebugLevel)
	x.reloadText(t, "memory_mb: 284", "memory_mb: 300")
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(budget.RuntimeShare*float64(300)*(1<<20)))
	assert.Equal(t, x.counters.Get("settings_reload_refused"), int64(0))
}

// Guards against hosts of one fleet that answer differently because half of them have
// been reloaded, and against a refusal that does not name the setting.
func TestReloadRefusesSettingsOfAnswers(t *testing.T) {
	x := newReloadTest(t)
	before := x.settings
	x.reloadText(t, "key_grace: 5s", "key_grace: 9s")
	x.reloadText(t, "rate_slack: 20", "rate_slack: 70")
	assert.DeepEqual(t, x.settings, before)
	assert.Equal(t, x.counters.Get("settings_reload_refused"), int64(2))
	for _, name := range []string{"key_grace", "rate_slack"} {
		assert.Equal(t, strings.Count(x.lines.String(), name), 1, x.lines.String())
	}
}

// Guards against an invalid settings file that changes a host or ends it.
func TestInvalidFileLeavesSettingsInForce(t *testing.T) {
	x := newReloadTest(t)
	before := x.settings
	x.reloadText(t, "log_level: info", "log_level: debug\nmemory_mb: 0")
	x.reloadText(t, "name:", "{{")
	assert.DeepEqual(t, x.settings, before)
	assert.Equal(t, x.log.Level, log.InfoLevel)
	assert.Equal(t, x.counters.Get("settings_reload_failed"), int64(2))
}

// Guards against overrides that are lost or accepted although they name no setting, and
// against an empty one, which a deployment without the value passes.
func TestOverridesOfSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	data, err := os.ReadFile("../../examples/line-host.yaml")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	s, err := LoadSettings(path, "requirements=[a,b]", "memory_mb=99", "", "rate_window=")
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Requirements, []string{"a", "b"})
	assert.Equal(t, s.MemoryMB, 99)
	assert.Equal(t, s.RateWindow.Std(), 5*time.Second)
	assert.Equal(t, s.Name, "kolkata-1")
	for _, bad := range []string{"memory=1", "memory_mb", "memory_mb=1\nname: x", "memory_mb=-1"} {
		_, err := LoadSettings(path, bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Load: the servers of a fleet of 2 large and 20 small hosts a zone. Guards against homes on
// hosts that cannot carry them beside their clients, and against a fleet of equal small
// hosts in which some are preferred.
func TestHostsAreWeightedByWhatTheirClientsLeave(t *testing.T) {
	large := Settings{ProcessorShare: 0.8, Cores: 1, LinkMbps: 200}
	small := Settings{ProcessorShare: 0.192, Cores: 1, LinkMbps: 10}
	medium := Settings{ProcessorShare: 0.4, Cores: 1, LinkMbps: 1000}
	assert.Assert(t, 2*large.spareCapacity() > 6*20*small.spareCapacity())
	assert.Assert(t, small.spareCapacity() > 0)
	assert.Assert(t, large.spareCapacity() > 2*medium.spareCapacity())
	assert.Assert(t, medium.spareCapacity() > 20*small.spareCapacity())
	// A narrow link alone does not overload a host.
	narrow := Settings{ProcessorShare: 0.464, Cores: 1, LinkMbps: 10}
	assert.Assert(t, narrow.spareCapacity() > 10*small.spareCapacity())
}
