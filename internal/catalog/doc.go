// Package catalog builds an immutable snapshot of what the operator and the
// backend servers have written to the store: the configuration, the registered
// servers and the zones that are out of service. It also tracks the age of the
// last confirmation of the configuration, which decides whether API keys may
// still be accepted.
//
// Catalog is the pure part that builds snapshots from rows; Shell follows the
// rows in the store.
package catalog
