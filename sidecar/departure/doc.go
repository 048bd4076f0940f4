// Package departure keeps on the platform's store which backend servers have said
// that they leave, so that a daemon that has acknowledged it is bound by that also
// after all daemons were killed.
//
// Each departure is a row of its own, which only the daemon beside the backend
// server writes. A row is written before the departure is acknowledged, unless the
// store does not answer in time; it is then owed, and written once the store
// answers. What the store lost when it came back from an older copy is written
// again. A daemon reads its rows at its start.
package departure
