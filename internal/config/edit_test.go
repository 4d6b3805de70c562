package config

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readTestdata(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	assert.NilError(t, err)
	return data
}

// Guards against edits that lose comments, or produce a file that cannot be decoded.
func TestAddAndWithdrawKey(t *testing.T) {
	inventory := append([]byte("# kept comment\n"), readTestdata(t, InventoryFile)...)
	key := KeyRef{ID: "k2", Caller: "app", SHA256: strings.Repeat("ab", digestBytes)}
	edited, err := AddKey(inventory, "acme", key)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(edited), "# kept comment"))
	_, err = AddKey(edited, "acme", key)
	assert.ErrorContains(t, err, "already has a key")

	edited, err = WithdrawKey(edited, "acme", "k2")
	assert.NilError(t, err)
	var inv Inventory
	assert.NilError(t, DecodeStrict(InventoryFile, edited, &inv))
	assert.Equal(t, inv.Customers[0].Keys[1], KeyRef{ID: "k2", Caller: "app", SHA256: key.SHA256, Withdrawn: true})
	_, err = WithdrawKey(edited, "acme", "k9")
	assert.ErrorContains(t, err, "no key")
}

// Guards against a zone that stays out of service after it was returned to service,
// and against a zone that is listed twice.
func TestSetZoneOut(t *testing.T) {
	rules := readTestdata(t, RulesFile)
	out, err := SetZoneOut(rules, "north", true)
	assert.NilError(t, err)
	_, err = SetZoneOut(out, "north", true)
	assert.ErrorContains(t, err, "already out")
	back, err := SetZoneOut(out, "north", false)
	assert.NilError(t, err)
	var r Rules
	assert.NilError(t, DecodeStrict(RulesFile, back, &r))
	assert.Equal(t, len(r.ZonesOut), 0)
}
