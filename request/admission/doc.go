// Package admission decides at the daemon beside a backend server which
// requests take its slots, which wait and which are refused.
package admission
