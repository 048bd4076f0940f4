// Package member keeps the last known state of the other daemons and of the
// backend servers on their instances.
package member
