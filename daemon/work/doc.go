// Package work runs jobs on a fixed pool of workers.
package work
