// Package owner runs requests at the one backend server beside the daemon: it
// alone connects to it, so slots, connections and the drain are settled in one
// place.
package owner
