// Package logbook writes structured log lines without ever blocking the part
// that logs: lines beyond a rate, or beyond a bounded queue, are dropped and
// counted, and the count is logged.
package logbook
