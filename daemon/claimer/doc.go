// Package claimer runs unrepeatable requests at most once over the whole mesh,
// with claims in the platform's table.
package claimer
