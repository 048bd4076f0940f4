// Package configuration keeps the configuration in force and replaces it by newer
// versions that it is offered.
package configuration
