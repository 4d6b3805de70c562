// Package bench measures the proxy against stand-in databases and a fake
// platform on loopback.
package bench
