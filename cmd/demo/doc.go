// Package demo runs a whole mesh on loopback for some seconds, changes its
// configuration under load, kills one of its instances, and checks the
// guarantees: no unrepeatable request runs twice, no request that is answered as not
// run has run, and no answer is cut or belongs to another request.
package demo
