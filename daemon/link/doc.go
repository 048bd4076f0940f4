// Package link holds what every control loop needs to talk to the other daemons.
package link
