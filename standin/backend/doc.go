// Package backend is a stand-in for a backend server, for tests, benchmarks and
// the demo. It answers with the id of the request and checksums of both bodies,
// counts the executions of each request, and can be made slow, overloaded or
// faulty while it runs.
package backend
