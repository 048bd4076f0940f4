// Package forward copies requests and responses between callers, daemons and
// backend servers without changing or cutting them.
package forward
