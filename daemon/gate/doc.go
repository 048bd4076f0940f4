// Package gate makes requests wait until the admission controller of one backend
// server gives them a slot or refuses them.
package gate
