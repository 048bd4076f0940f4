// Package load sends a mix of requests at a steady rate with bounded
// concurrency, measures their latencies and checks that each answer of the
// backend stand-in is whole and belongs to its request.
package load
