// Package quarantine counts which requests were running when backend servers
// crashed and stops those that did so repeatedly.
package quarantine
