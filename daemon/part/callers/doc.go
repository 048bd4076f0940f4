// Package callers is the part that serves callers.
package callers
