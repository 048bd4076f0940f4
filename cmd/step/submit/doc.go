// Package submit is the step that submits the difference.
package submit
