// Package roster shares the membership machine of a daemon between its workers
// and keeps the candidates of each route up to date.
package roster
