// Package backoff spreads and bounds waits.
package backoff
