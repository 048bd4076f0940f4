// Package owner serves calls at the daemon beside a backend server: it admits
// them to a slot and sends each one at most once.
package owner
