// Package route holds the limits, services and routes of one configuration version
// and finds the route of a request by its host and path.
package route
