// Package settings declares and checks the settings of a daemon.
package settings
