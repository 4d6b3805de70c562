package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

func keyRef(id, secret string, withdrawn bool) config.KeyRef {
	d := sha256.Sum256([]byte(secret))
	return config.KeyRef{ID: id, SHA256: hex.EncodeToString(d[:]), Withdrawn: withdrawn}
}

func testDocument() *config.Document {
	return &config.Document{
		Inventory: config.Inventory{Customers: []config.Customer{
			{Name: "acme", Keys: []config.KeyRef{keyRef("k1", "one", false), keyRef("k2", "two", false), keyRef("k0", "old", true), {ID: "broken", SHA256: "00"}}},
			{Name: "b.c", Keys: []config.KeyRef{keyRef("k1", "three", false)}},
		}},
		Rules: config.Rules{Routes: []config.Route{
			{Name: "acme-only", Customers: []string{"acme"}}, {Name: "all"}, {Name: "public", Public: true},
		}},
	}
}

func reason(err error) verdict.Reason {
	if err == nil {
		return ""
	}
	return verdict.From(err).Reason
}

// Guards against a key that is accepted on a route that its customer may not use,
// and against errors that distinguish an unknown key id from a wrong secret.
func TestVerify(t *testing.T) {
	doc, fresh := testDocument(), true
	k := NewKeyVerifier(func() *config.Document { return doc }, func() bool { return fresh })
	for _, x := range []struct {
		route, password, customer string
		reason                    verdict.Reason
	}{
		{route: "acme-only", password: "acme.k1.one", customer: "acme"},
		{route: "acme-only", password: "acme.k2.two", customer: "acme"},
		{route: "all", password: "b.c.k1.three", customer: "b.c"},
		{route: "acme-only", password: "b.c.k1.three", reason: verdict.WrongCustomer},
		{route: "acme-only", password: "acme.k0.old", reason: verdict.WithdrawnKey},
		{route: "acme-only", password: "acme.k0.wrong", reason: verdict.BadKey},
		{route: "acme-only", password: "acme.k1.two", reason: verdict.BadKey},
		{route: "acme-only", password: "acme.unknown.one", reason: verdict.BadKey},
		{route: "acme-only", password: "acme.broken.", reason: verdict.BadKey},
		{route: "acme-only", password: "", reason: verdict.BadKey},
		{route: "acme-only", password: "..", reason: verdict.BadKey},
		{route: "public", password: "", customer: config.PublicCustomer},
		{route: "public", password: "acme.k1.one", customer: "acme"},
		{route: "public", password: "acme.k1.wrong", reason: verdict.BadKey},
	} {
		customer, id, err := k.Verify(k.currentIndex().routes[x.route], x.password)
		assert.Equal(t, reason(err), x.reason, x.password)
		assert.Equal(t, customer, x.customer, x.password)
		if err == nil {
			assert.NilError(t, k.CheckSession(x.route, customer, id))
		}
	}
	_, _, unknown := k.Verify(config.Route{}, "acme.unknown.one")
	_, _, wrong := k.Verify(config.Route{}, "acme.k1.wrong")
	assert.Error(t, unknown, wrong.Error())
	fresh = false
	_, _, err := k.Verify(config.Route{}, "acme.k1.one")
	assert.Equal(t, reason(err), verdict.StaleConfiguration)
	_, _, err = k.Verify(config.Route{Public: true}, "")
	assert.NilError(t, err)
}

// Guards against a session that continues after its key was withdrawn, removed or
// replaced, or after its route was removed or closed to its customer.
func TestCheckSessionAfterConfigurationChange(t *testing.T) {
	doc, fresh := testDocument(), true
	k := NewKeyVerifier(func() *config.Document { return doc }, func() bool { return fresh })
	_, id, err := k.Verify(config.Route{}, "acme.k1.one")
	assert.NilError(t, err)
	check := func(route string, change func(*config.Document)) verdict.Reason {
		doc = testDocument()
		change(doc)
		return reason(k.CheckSession(route, "acme", id))
	}
	assert.Equal(t, check("acme-only", func(*config.Document) {}), verdict.Reason(""))
	assert.Equal(t, check("acme-only", func(d *config.Document) { d.Inventory.Customers[0].Keys[0].Withdrawn = true }), verdict.WithdrawnKey)
	assert.Equal(t, check("acme-only", func(d *config.Document) { d.Inventory.Customers[0].Keys = nil }), verdict.WithdrawnKey)
	assert.Equal(t, check("acme-only", func(d *config.Document) { d.Inventory.Customers[0].Keys[0] = keyRef("k1", "replaced", false) }), verdict.WithdrawnKey)
	assert.Equal(t, check("acme-only", func(d *config.Document) { d.Rules.Routes[0].Customers = []string{"b.c"} }), verdict.WrongCustomer)
	assert.Equal(t, check("gone", func(*config.Document) {}), verdict.UnknownRoute)
	fresh = false
	assert.Equal(t, check("acme-only", func(*config.Document) {}), verdict.StaleConfiguration)
	assert.NilError(t, k.CheckSession("public", config.PublicCustomer, ""))
	assert.Equal(t, reason(k.CheckSession("all", config.PublicCustomer, "")), verdict.WrongCustomer)
}
