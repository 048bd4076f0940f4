// Package control is the part that runs the control loops of membership, distribution and claims.
package control
