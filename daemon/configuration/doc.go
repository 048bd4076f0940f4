// Package configuration holds the version that a daemon has in force and only
// ever replaces it whole by a newer one.
package configuration
