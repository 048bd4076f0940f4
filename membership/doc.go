// Package membership decides which instances are alive, from probes, indirect
// probes and gossip, as a state machine without clock, socket or goroutine.
package membership
