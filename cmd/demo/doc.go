// Package demo runs a whole mesh on loopback for some seconds, changes its
// configuration, kills one of its instances and checks the promises.
package demo
