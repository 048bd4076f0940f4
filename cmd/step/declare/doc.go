// Package declare is the step that reads the declarations of a change from its directory.
package declare
