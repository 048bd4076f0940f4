// Package commit batches the submissions of operators into versions and
// commits them to the version log in the store, with retries on conflicts.
package commit
