// Package distribution decides how a version reaches every daemon: who relays,
// whom to push to, when to pull and when to read the store.
package distribution
