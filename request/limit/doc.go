// Package limit enforces the rate and concurrency limits of an intent. Each
// daemon beside a backend server of the intent enforces its share of the limit
// on its own, without a central instance.
package limit
