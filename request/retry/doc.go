// Package retry provides a retry budget, which bounds the extra load that retries and hedged attempts cause.
package retry
