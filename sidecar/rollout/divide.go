package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"siskinspar.example/sidecar/member"
)

// endLifetime is how long after the completed step the old backend servers, which stop at once, are left out.
const endLifetime = 30 * time.Second

// HasTwoVersions reports whether the candidates are of more than one version.
func HasTwoVersions(candidates []member.Candidate) bool {
	for i := 1; i < len(candidates); i++ {
		if candidates[i].Server.Version != candidates[0].Server.Version {
			return true
		}
	}
	return false
}

// Request is what a division has to know of a request.
type Request struct {
	// Draw is a number from 0 to 1 that the request keeps; those below the share go to the target version.
	Draw float64
	// Tried are the IDs of the backend servers that failed or refused the request.
	Tried []string
}

// Moment is what a daemon knows of a roll-out when it divides the candidates of a request.
type Moment struct {
	// Elapsed is the time since the order, and EndedFor that since the last step if the roll-out has ended.
	Elapsed, EndedFor time.Duration
	// IsSilent is true if the step was not heard of for too long.
	IsSilent bool
}

// Divide divides the candidates of a request. Those in canary are tried first, if they have a slot; the others are the
// ones that the request may use otherwise. A request that failed at a canary is repeated at the others.
func (r Rollout) Divide(all []member.Candidate, m Moment, q Request) (canary, rest []member.Candidate) {
	target, others := split(all, r.Order.target)
	switch {
	case !isLeft(others, q.Tried):
		return nil, all
	case r.Step.State == RolledBack || r.Step.State == Running && m.IsSilent:
		return nil, others
	case r.Step.State == Completed && m.EndedFor >= endLifetime:
		return nil, all
	case r.Step.State == Completed || r.Step.Share >= 1:
		if !isLeft(target, q.Tried) {
			return nil, all
		}
		return nil, target
	}
	c := NewCanary(r.Order, m.Elapsed, r.Step.Share, len(target))
	if q.Draw >= c.Share || len(q.Tried) > 0 {
		return nil, others
	}
	return c.pick(target), others
}

// pick returns the servers of a canary. Their order is that of a hash of their IDs, so that it mixes data centres.
func (c Canary) pick(target []member.Candidate) []member.Candidate {
	slices.SortFunc(target, func(a, b member.Candidate) int {
		return cmp.Or(cmp.Compare(hash(a.Server.ID), hash(b.Server.ID)), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	picked := make([]member.Candidate, 0, c.Count)
	for i := range c.Count {
		picked = append(picked, target[(c.First+i)%len(target)])
	}
	return picked
}

func hash(id string) uint64 {
	h := fnv.New64a()
	// Write of a hash returns no error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// split divides candidates into those of a version and the others.
func split(all []member.Candidate, version string) (of, others []member.Candidate) {
	for _, c := range all {
		if c.Server.Version == version {
			of = append(of, c)
		} else {
			others = append(others, c)
		}
	}
	return of, others
}

// isLeft reports whether a request that was tried at some servers can be sent to one of the candidates.
func isLeft(candidates []member.Candidate, tried []string) bool {
	return slices.ContainsFunc(candidates, func(c member.Candidate) bool {
		return !c.IsUnreachable && !c.IsStopping && !slices.Contains(tried, c.Server.ID)
	})
}
