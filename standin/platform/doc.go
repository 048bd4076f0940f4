// Package platform is a stand-in for the platform's store: it serves the
// published calls for rows and objects from memory, and fails on request.
package platform
