// Package backoff provides jittered delays and a sleep that a context can end.
package backoff
