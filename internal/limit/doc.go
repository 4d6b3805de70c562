// Package limit is the shell of the customer aggregate's rates: admission of
// requests at entry hosts, and the minters of the roles that this host holds.
package limit
