// Package mesh runs a platform stand-in, daemons and backend servers in one
// process on loopback, for the demo, benchmarks and tests.
package mesh
