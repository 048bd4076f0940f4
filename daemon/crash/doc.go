// Package crash finds out that a backend server crashed, tells all daemons what
// ran there, and keeps quarantined requests from running.
package crash
