// Package configuration keeps the routes in force and follows the store for
// newer ones.
package configuration
