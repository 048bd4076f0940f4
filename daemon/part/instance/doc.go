// Package instance is the part that sets the daemon's identity and creates its clock, timeline, configuration and
// roster of members.
package instance
