// Package platform is a stand-in for the platform's store, for tests and trials. It
// serves the published calls for rows and objects from memory, and a fault set with
// Server.SetFault makes calls fail.
package platform
