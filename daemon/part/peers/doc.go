// Package peers is the part that serves the remote calls and forwarded requests of other daemons.
package peers
