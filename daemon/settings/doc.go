// Package settings reads the INI settings file of a daemon into typed structs and reports all faults of it together.
package settings
