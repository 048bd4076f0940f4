// Package settings declares what a daemon has to be told when it starts.
package settings
