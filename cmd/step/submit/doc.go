// Package submit is the step that submits the proposals of a change to a daemon.
package submit
