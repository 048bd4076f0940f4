// Package record keeps the version log in the platform's table and object
// store.
package record
