// Package work runs jobs from a bounded queue on a fixed number of workers.
package work
