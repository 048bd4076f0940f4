// Package membership tracks which instances of the mesh are alive, by probes, indirect probes and gossip as in the
// SWIM protocol. It is a state machine without clock, socket or goroutine: the daemon passes in the time and sends the
// messages.
//
// A member that is dead ("removed" in the name of the event) or left keeps its record for Timing.Retention, until the
// record is purged, so that other instances learn of its end and older records of it are not taken in again.
package membership
