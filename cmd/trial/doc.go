// Package trial defines the commands for trials: the stand-ins, the load generator, the soak and the demo.
package trial
