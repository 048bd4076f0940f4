// Package operators is the part that serves operators and the announcements of backend servers.
package operators
