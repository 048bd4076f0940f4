// Package limit divides the limit of an intent over the daemons beside the
// backend servers that serve it, without a central instance.
package limit
