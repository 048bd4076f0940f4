// Package timeline keeps the newest events of one instance, such as a member that joined or a version that came in
// force. Events are stamped by a hybrid logical clock, so that those of many instances merge in causal order.
package timeline
