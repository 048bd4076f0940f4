// Package retry bounds the extra load that second attempts cause.
package retry
