// Package member holds what a daemon believes of the other daemons and of the
// backend servers beside them.
package member
