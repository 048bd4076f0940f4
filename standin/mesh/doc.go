// Package mesh runs a platform stand-in, daemons and backend servers in one
// process on loopback addresses, for the demo, benchmarks and tests. It can
// kill and restart daemons and isolate data centres from each other.
package mesh
