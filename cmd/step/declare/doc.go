// Package declare is the step that reads the declarations of a directory.
package declare
