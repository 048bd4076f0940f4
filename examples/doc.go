// Package examples holds the declarations and settings of two deployments.
package examples
