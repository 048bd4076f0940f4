// Package gate lets requests wait for the admission controller of one backend
// server.
package gate
