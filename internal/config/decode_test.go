package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against shipped examples that fail validation, and against an encoding that
// changes the document.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"sundarban", "kandyan"} {
		doc, err := Load(filepath.Join("../../examples", name))
		assert.NilError(t, err)
		data, err := Encode(doc)
		assert.NilError(t, err)
		again, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, doc, again)
	}
}

// Guards against accepting an invalid configuration, and against rejecting one
// without the file, line and path of the fault.
func TestInvalidConfigurationIsRejectedWithPosition(t *testing.T) {
	cases := []struct {
		name, file, old, with, want string
	}{
		{"unknown field", InventoryFile, "name: north", "nmae: north", "inventory.yaml:2: inventory.zones[0].nmae: unknown field"},
		{"duration without unit", RulesFile, "staleness: 1s", "staleness: 1", "rules.yaml:5: rules.routes[1].staleness: \"1\" is not a duration"},
		{"negative duration", RulesFile, "staleness: 1s", "staleness: -1s", "rules.yaml:5: rules.routes[1].staleness: negative duration"},
		{"dangling zone", InventoryFile, "zone: south, address", "zone: west, address", "inventory.yaml:11: inventory.groups[0].servers[1].zone: unknown availability zone \"west\""},
		{"dangling group", RulesFile, "group: main, mode: read", "group: mian, mode: read", "rules.yaml:5: rules.routes[1].group: unknown database group \"mian\""},
		{"dangling customer", RulesFile, "customer: acme", "customer: acne", "rules.yaml:7: rules.limits[0].customer: unknown customer \"acne\""},
		{"customer without limit", RulesFile, "customer: acme, rate", "customer: public, rate", "inventory.yaml:14: inventory.customers[0].name: customer \"acme\" has no limit"},
		{"two databases", InventoryFile, "      - {name: main-3, zone: east, address: \"127.0.0.1:3\", slots: 2, connections: 10}\n", "", "inventory.yaml:9: inventory.groups[0].servers: 2 backend servers"},
		{"duplicate server", InventoryFile, "name: main-2", "name: main-1", "inventory.yaml:11: inventory.groups[0].servers[1].name: backend server \"main-1\" is declared twice"},
		{"duplicate address", InventoryFile, "127.0.0.1:2", "127.0.0.1:1", "inventory.yaml:11: inventory.groups[0].servers[1].address: address 127.0.0.1:1 is used twice"},
		{"port out of range", InventoryFile, "127.0.0.1:2", "127.0.0.1:99999", "inventory.yaml:11: inventory.groups[0].servers[1].address: \"127.0.0.1:99999\" is not an address with"},
		{"bad address", InventoryFile, "127.0.0.1:2", "somewhere", "inventory.yaml:11: inventory.groups[0].servers[1].address: \"somewhere\" is not an address"},
		{"too many slots", InventoryFile, "\"127.0.0.1:1\", slots: 2", "\"127.0.0.1:1\", slots: 4611686018427387904", "inventory.yaml:10: inventory.groups[0].servers[0].slots: 4611686018427387904 slots"},
		{"too many connections", InventoryFile, "slots: 2, connections: 10", "slots: 2, connections: 9000000000", "inventory.yaml:10: inventory.groups[0].servers[0].connections: 9000000000 connections"},
		{"no slots", InventoryFile, "\"127.0.0.1:1\", slots: 2", "\"127.0.0.1:1\", slots: 0", "inventory.yaml:10: inventory.groups[0].servers[0].slots: 0 slots"},
		{"slots not a number", InventoryFile, "\"127.0.0.1:1\", slots: 2", "\"127.0.0.1:1\", slots: two", "inventory.yaml:10: inventory.groups[0].servers[0].slots: \"two\" has the wrong type"},
		{"too few connections", InventoryFile, "\"127.0.0.1:1\", slots: 2, connections: 10", "\"127.0.0.1:1\", slots: 2, connections: 4", "inventory.yaml:10: inventory.groups[0].servers[0].connections: 4 connections"},
		{"key instead of verifier", InventoryFile, "sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", "sha256: hunter2", "inventory.yaml:16: inventory.customers[0].keys[0].sha256: not a key verifier"},
		{"repeatable write", RulesFile, "mode: write", "mode: write, repeatable: true", "rules.yaml:4: rules.routes[0].repeatable: a write route cannot be repeatable"},
		{"unknown mode", RulesFile, "mode: write", "mode: append", "rules.yaml:4: rules.routes[0].mode: unknown mode \"append\""},
		{"zero rate", RulesFile, "rate: 10", "rate: 0", "rules.yaml:7: rules.limits[0].rate: rate 0"},
		{"every zone out", RulesFile, "zones_out: []", "zones_out: [north, south, east]", "rules.yaml:2: rules.zones_out: every availability zone is out"},
		{"unknown zone out", RulesFile, "zones_out: []", "zones_out: [nroth]", "rules.yaml:2: rules.zones_out[0]: unknown availability zone \"nroth\""},
		{"public route without limit", RulesFile, "mode: read", "mode: read, public: true", "rules.yaml:6: rules.limits: public routes have no limit"},
		{"broken YAML", RulesFile, "routes:", "routes: [", "rules.yaml:"},
		{"field twice", InventoryFile, "{name: north, region: r}", "{name: north, region: r, region: q}", "inventory.yaml:2: inventory.zones[0].region: field given twice"},
		{"unknown durability", InventoryFile, "durability: replicated", "durability: maybe", "inventory.yaml:8: inventory.groups[0].durability: unknown durability \"maybe\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for _, file := range []string{InventoryFile, RulesFile} {
				data, err := os.ReadFile(filepath.Join("testdata", file))
				assert.NilError(t, err)
				text := string(data)
				if file == c.file {
					assert.Assert(t, strings.Contains(text, c.old), "the case does not change the file")
					text = strings.Replace(text, c.old, c.with, 1)
				}
				assert.NilError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
			}
			_, err := Load(dir)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
