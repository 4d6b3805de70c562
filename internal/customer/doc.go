// Package customer is the aggregate of a customer: key verifiers, token buckets
// and grants.
package customer
