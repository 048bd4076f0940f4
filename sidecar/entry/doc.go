// Package entry takes the requests of the clients on its machine through their
// life: route, offer, wait for a slot, answer or repeat, give up.
package entry
