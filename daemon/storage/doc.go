// Package storage reaches the version log and notes when the store is down.
package storage
