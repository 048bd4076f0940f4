// Package crash detects the crash of a backend server, notifies all daemons of the
// requests that ran there, and reports which requests are quarantined.
package crash
