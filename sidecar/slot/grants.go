package slot

const (
	// claimSmoothing is the weight of the latest grant in the moving share of grants that are claimed.
	claimSmoothing = 0.05
	// minimumClaimShare bounds that share from below.
	minimumClaimShare = 0.25
	// maximumOvercommit bounds the jobs with a slot, granted ones included, as a multiple of the slots: if all are claimed,
	// the rest waits at the backend server.
	maximumOvercommit = 1.5
)

// claims estimates which share of the granted slots is claimed. A request waits at several owners and uses one of their
// grants, so where jobs are short the slots would be granted to requests that run elsewhere most of the time.
type claims struct {
	// unclaimed is the moving share of the grants that were not claimed.
	unclaimed float64
}

// record adds a grant that was claimed, or was withdrawn or expired.
func (c *claims) record(isClaimed bool) {
	c.unclaimed -= claimSmoothing * c.unclaimed
	if !isClaimed {
		c.unclaimed += claimSmoothing
	}
}

// share returns the estimated share of the grants that are claimed.
func (c *claims) share() float64 { return max(minimumClaimShare, 1-c.unclaimed) }
