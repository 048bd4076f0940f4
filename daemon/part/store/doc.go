// Package store is the part that connects the daemon to the platform's store.
package store
