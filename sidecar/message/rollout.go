package message

import (
	"time"

	"siskinspar.example/sidecar/rollout"
)

// Rollout is a roll-out as the sender knows it: the order and its latest step.
type Rollout struct {
	Service, Target string
	Duration        time.Duration
	// Version and Era are those of the row of the order.
	Version, Era uint64
	Step         rollout.Step
	IsStored     bool
	// Elapsed is the time since the order, Silence that since the roll-out controller confirmed the step.
	Elapsed, Silence time.Duration
}

// Known returns the order and the step, or an error if the order is out of range.
func (r Rollout) Known() (rollout.Rollout, error) {
	o, err := rollout.NewOrder(r.Service, r.Target, r.Duration, r.Version, r.Era)
	return rollout.Rollout{Order: o, Step: r.Step, IsStored: r.IsStored}, err
}

// RolloutReport holds the counts of one entry daemon for the roll-out controller.
type RolloutReport struct {
	// Entry is the address of the entry daemon, Incarnation that of its record.
	Entry       string
	Incarnation int64
	Services    []RolloutCounts
}

// RolloutCounts are the counts of one service.
type RolloutCounts struct {
	Service string
	// Version and Era are those of the row of the order.
	Version, Era uint64
	// Requests and Exposed are the requests since the order that ran, and those of them at the target version.
	Requests, Exposed int
	// Counts are those since the report before.
	Counts []rollout.Count
}

// RolloutSteps is the reply to a report: the roll-outs that the roll-out controller knows.
type RolloutSteps struct{ Rollouts []Rollout }
