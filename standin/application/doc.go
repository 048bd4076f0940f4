// Package application is a stand-in for an application server on the platform:
// it runs requests in slots, announces itself to the daemon on its instance,
// drains, and fails on request.
package application
