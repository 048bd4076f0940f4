// Package storage gives access to the version log in the store, and tracks
// whether the store answers.
package storage
