// Package settings reads the INI settings of a daemon into typed structs and
// lists every fault at once.
package settings
