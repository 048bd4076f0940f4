// Package rollout decides how the requests of a service move to the backend
// servers of another version, and when that version is bad. It has no goroutine,
// clock, socket or log; times are passed in.
//
// An Order asks for the move. A Rollout is an order with its latest Step, which
// says what share of the requests the target version gets. Judge compares the
// responses of the target version with those of the others, and Plan names the
// next step from the time, the load and the verdict. Canary spreads the share of a
// step over time and over backend servers, and Divide applies it to the candidates
// of a request. Tally and Meter count requests, in one daemon and over all of them.
package rollout
