package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

const validSettings = `
name: a-1
zone: a
client: {listen: "127.0.0.1:1", certificate: c.pem, key: k.pem}
peer: {listen: "127.0.0.1:2"}
platform: "127.0.0.1:3"
backend: {user: data, password: x, control_user: control, control_password: y}
`

func parseSettingsText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return ParseSettings(path)
}

// Guards against a host that starts with unsafe or incomplete settings.
func TestSettingsAreChecked(t *testing.T) {
	_, err := parseSettingsText(t, validSettings)
	assert.NilError(t, err)
	cases := []struct{ name, old, with, want string }{
		{"unknown field", "platform:", "plattform:", "unknown field"},
		{"no zone", "zone: a\n", "", "setting zone is missing"},
		{"no certificate", ", certificate: c.pem, key: k.pem", "", "set client.plaintext to allow connections without TLS"},
		{"bad address", "127.0.0.1:2", "somewhere", "peer.listen"},
		{"no control user", ", control_user: control", "", "backend.control_user is missing"},
		{"one user for both", "control_user: control", "control_user: data", "could then promote a database"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSettings, c.old))
			_, err := parseSettingsText(t, strings.Replace(validSettings, c.old, c.with, 1))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against keys sent without TLS, and against a host that runs with another
// host's settings: under a name that the inventory lacks or in the wrong zone.
func TestSettingsAreCheckedAgainstConfiguration(t *testing.T) {
	doc := &config.Document{
		Inventory: config.Inventory{Hosts: []config.Host{{Name: "a-1", Zone: "a"}}},
		Rules:     config.Rules{Routes: []config.Route{{Name: "open", Public: true}, {Name: "keyed"}}},
	}
	s, err := parseSettingsText(t, validSettings)
	assert.NilError(t, err)
	assert.NilError(t, s.CheckAgainst(doc))
	s.Client.Plaintext = true
	assert.ErrorContains(t, s.CheckAgainst(doc), "keyed")
	doc.Rules.Routes = doc.Rules.Routes[:1]
	assert.NilError(t, s.CheckAgainst(doc))
	s.Zone = "b"
	assert.ErrorContains(t, s.CheckAgainst(doc), "zone")
	s.Name = "a-2"
	assert.ErrorContains(t, s.CheckAgainst(doc), "not in the inventory")
}
