package customer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Keys verifies callers' keys against the configuration in force.
type Keys struct {
	document func() *config.Document
	fresh    func() bool
	index    atomic.Pointer[keyIndex]
}

// NewKeys returns the verifier of a host. Fresh reports whether the host's
// knowledge of keys is recent enough to accept any.
func NewKeys(document func() *config.Document, fresh func() bool) *Keys {
	return &Keys{document: document, fresh: fresh}
}

type keyName struct{ customer, id string }

type verifier struct {
	digest    [sha256.Size]byte
	withdrawn bool
}

// tagBytes is the part of a digest that tells two secrets of one key id apart.
const tagBytes = 8

// tagged returns the key id with a digest prefix, so that a session ends when the
// operator replaces the secret under the same id.
func (v verifier) tagged(keyID string) string {
	return keyID + "#" + hex.EncodeToString(v.digest[:tagBytes])
}

// keyIndex holds the keys and routes of one document by name.
type keyIndex struct {
	document *config.Document
	keys     map[keyName]verifier
	routes   map[string]config.Route
}

func newKeyIndex(doc *config.Document) *keyIndex {
	x := &keyIndex{document: doc, keys: make(map[keyName]verifier), routes: make(map[string]config.Route)}
	if doc == nil {
		return x
	}
	for _, c := range doc.Inventory.Customers {
		for _, k := range c.Keys {
			v := verifier{withdrawn: k.Withdrawn}
			if n, err := hex.Decode(v.digest[:], []byte(k.SHA256)); err == nil && n == sha256.Size {
				x.keys[keyName{c.Name, k.ID}] = v
			}
		}
	}
	for _, r := range doc.Rules.Routes {
		x.routes[r.Name] = r
	}
	return x
}

func (k *Keys) current() *keyIndex {
	doc := k.document()
	if x := k.index.Load(); x != nil && x.document == doc {
		return x
	}
	x := newKeyIndex(doc)
	k.index.Store(x)
	return x
}

// unknownKey is compared in place of a key that does not exist, so that unknown
// key ids and wrong secrets take the same steps. No secret has this digest.
var unknownKey verifier

// Verify returns the customer and the tagged key id of a password of the form
// customer.id.secret. A public route needs no password.
func (k *Keys) Verify(route config.Route, password string) (customer, keyID string, err error) {
	if route.Public && password == "" {
		return config.PublicCustomer, "", nil
	}
	if !k.fresh() {
		return "", "", stale()
	}
	head, secret := cutLast(password)
	customer, keyID = cutLast(head)
	v, known := k.current().keys[keyName{customer, keyID}]
	if !known {
		v = unknownKey
	}
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], v.digest[:]) != 1 || !known {
		return "", "", verdict.New(verdict.NotRun, verdict.BadKey, "key authentication failed")
	}
	// Only the holder of the secret learns that its key is withdrawn.
	if v.withdrawn {
		return "", "", withdrawn()
	}
	if !allowed(route, customer) {
		return "", "", wrongCustomer(route.Name)
	}
	return customer, v.tagged(keyID), nil
}

// Check returns why a session that was admitted with the key must end.
func (k *Keys) Check(route, customer, keyID string) error {
	x := k.current()
	r, ok := x.routes[route]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q does not exist", route)
	}
	if keyID == "" {
		if r.Public {
			return nil
		}
		return wrongCustomer(route)
	}
	if !k.fresh() {
		return stale()
	}
	id, _, _ := strings.Cut(keyID, "#")
	if v, known := x.keys[keyName{customer, id}]; !known || v.withdrawn || v.tagged(id) != keyID {
		return withdrawn()
	}
	if !allowed(r, customer) {
		return wrongCustomer(route)
	}
	return nil
}

func allowed(r config.Route, customer string) bool {
	return r.Public || len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
}

func cutLast(s string) (before, after string) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", s
	}
	return s[:i], s[i+1:]
}

func stale() error {
	return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host's knowledge of keys is too old")
}

func withdrawn() error {
	return verdict.New(verdict.NotRun, verdict.WithdrawnKey, "the key is withdrawn")
}

func wrongCustomer(route string) error {
	return verdict.New(verdict.NotRun, verdict.WrongCustomer, "the key's customer may not use route %q", route)
}
