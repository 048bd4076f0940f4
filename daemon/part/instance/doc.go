// Package instance is the part that identifies the daemon and sets up its time line, configuration and directory.
package instance
