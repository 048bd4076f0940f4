// Package callers is the part that serves the requests of callers.
package callers
