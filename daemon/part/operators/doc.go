// Package operators is the part that serves operators, and backend servers that announce themselves.
package operators
