// Package config defines the inventory and the rules that operators keep in
// version control, decodes them strictly and validates them.
//
// A Document is immutable once it is decoded. It is published under a version that
// only increases. It holds key verifiers and never a key.
package config
