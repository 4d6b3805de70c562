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

// KeyVerifier verifies callers' keys against the configuration in force.
type KeyVerifier struct {
	document  func() *config.Document
	keysFresh func() bool
	index     atomic.Pointer[keyIndex]
}

// NewKeyVerifier returns the KeyVerifier of a host. The function keysFresh reports
// whether the host's copy of the keys is recent enough to accept any key.
func NewKeyVerifier(document func() *config.Document, keysFresh func() bool) *KeyVerifier {
	return &KeyVerifier{document: document, keysFresh: keysFresh}
}

type keyName struct{ customer, id string }

type storedKey struct {
	digest    [sha256.Size]byte
	withdrawn bool
}

// digestTagBytes is the length of the digest prefix that distinguishes two secrets
// of the same key id.
const digestTagBytes = 8

// taggedID returns the key id with a digest prefix, so that a session ends when
// the operator replaces the secret of the same id.
func (v storedKey) taggedID(keyID string) string {
	return keyID + "#" + hex.EncodeToString(v.digest[:digestTagBytes])
}

// keyIndex holds the keys and routes of one document by name.
type keyIndex struct {
	document *config.Document
	keys     map[keyName]storedKey
	routes   map[string]config.Route
}

func newKeyIndex(doc *config.Document) *keyIndex {
	x := &keyIndex{document: doc, keys: make(map[keyName]storedKey), routes: make(map[string]config.Route)}
	if doc == nil {
		return x
	}
	for _, c := range doc.Inventory.Customers {
		for _, k := range c.Keys {
			v := storedKey{withdrawn: k.Withdrawn}
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

// currentIndex returns the index of the document in force. It builds the index
// again after the document has changed.
func (k *KeyVerifier) currentIndex() *keyIndex {
	doc := k.document()
	if x := k.index.Load(); x != nil && x.document == doc {
		return x
	}
	x := newKeyIndex(doc)
	k.index.Store(x)
	return x
}

// unknownKey is compared in place of a key that does not exist, so that an unknown
// key id and a wrong secret take the same steps. No known secret has its all-zero
// digest.
var unknownKey storedKey

// Verify checks a password of the form customer.id.secret and returns the customer
// and the tagged key id. A public route accepts an empty password: the customer
// is then config.PublicCustomer and the key id is empty. All errors are NotRun
// errors.
func (k *KeyVerifier) Verify(route config.Route, password string) (customer, keyID string, err error) {
	if route.Public && password == "" {
		return config.PublicCustomer, "", nil
	}
	if !k.keysFresh() {
		return "", "", staleConfigurationError()
	}
	customerAndID, secret := cutLastDot(password)
	customer, keyID = cutLastDot(customerAndID)
	v, known := k.currentIndex().keys[keyName{customer, keyID}]
	if !known {
		v = unknownKey
	}
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], v.digest[:]) != 1 || !known {
		return "", "", verdict.New(verdict.NotRun, verdict.BadKey, "key authentication failed")
	}
	// This check follows the comparison, so that only a caller with the right secret
	// gets the error for a withdrawn key.
	if v.withdrawn {
		return "", "", withdrawnKeyError()
	}
	if !customerAllowed(route, customer) {
		return "", "", wrongCustomerError(route.Name)
	}
	return customer, v.taggedID(keyID), nil
}

// CheckSession returns nil if a session that was admitted with the tagged key id
// may go on, or the NotRun error with which it must end.
func (k *KeyVerifier) CheckSession(route, customer, keyID string) error {
	x := k.currentIndex()
	r, ok := x.routes[route]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownRoute, "route %q does not exist", route)
	}
	if keyID == "" {
		if r.Public {
			return nil
		}
		return wrongCustomerError(route)
	}
	if !k.keysFresh() {
		return staleConfigurationError()
	}
	id, _, _ := strings.Cut(keyID, "#")
	if v, known := x.keys[keyName{customer, id}]; !known || v.withdrawn || v.taggedID(id) != keyID {
		return withdrawnKeyError()
	}
	if !customerAllowed(r, customer) {
		return wrongCustomerError(route)
	}
	return nil
}

func customerAllowed(r config.Route, customer string) bool {
	return r.Public || len(r.Customers) == 0 || slices.Contains(r.Customers, customer)
}

// cutLastDot splits s at its last dot. Without a dot, all of s is in after.
func cutLastDot(s string) (before, after string) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", s
	}
	return s[:i], s[i+1:]
}

func staleConfigurationError() error {
	return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host's copy of the keys is too old")
}

func withdrawnKeyError() error {
	return verdict.New(verdict.NotRun, verdict.WithdrawnKey, "the key is withdrawn")
}

func wrongCustomerError(route string) error {
	return verdict.New(verdict.NotRun, verdict.WrongCustomer, "the key's customer may not use route %q", route)
}
