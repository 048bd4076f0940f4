// Package configuration holds the configuration version that a daemon has in
// force, and replaces it only as a whole and by a newer version.
package configuration
