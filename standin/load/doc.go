// Package load sends a bounded mix of requests at a steady rate and checks that
// each answer is whole and belongs to its request.
package load
