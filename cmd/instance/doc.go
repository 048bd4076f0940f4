// Package instance has the commands that run on an instance of the platform; it
// is where the product meets the platform's adapter.
package instance
