// Package catalog keeps what the operator and the backend servers have written
// to the store as one immutable snapshot: the configuration, the registered
// servers and the zones that are out of service. It also knows how old the
// confirmation of the configuration is, which decides whether keys may still be
// accepted.
package catalog
