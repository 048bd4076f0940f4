// Package quarantine keeps requests from running that were repeatedly in flight
// when a backend server crashed.
//
// Daemons exchange notices of crashes and clearances; each counts them by the
// fingerprint of the request.
package quarantine
