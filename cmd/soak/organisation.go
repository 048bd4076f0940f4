package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// The organisations of all configurations. The keys of memberOrganisation change with each version; clients stay within
// the quota of usualOrganisation and exceed that of floodOrganisation.
const (
	memberOrganisation = "school"
	usualOrganisation  = "court"
	floodOrganisation  = "arena"
	// unknownKey is a key that no version of the configuration holds.
	unknownKey = "key-unknown"
	// usualRate is the limit of usualOrganisation for each instance in requests a second; its client sends about 0.6 of it.
	usualRate = 18
	// floodRate, in requests a second, and floodBurst, in requests, are the quota of floodOrganisation. One client sends
	// more than floodRate, and each instance has one.
	floodRate  = 10
	floodBurst = 5
	// privatePath begins the targets of routes that need a key.
	privatePath = "/private"
	// oldVersions is how many versions back clients send keys that were withdrawn.
	oldVersions = 5
)

// quotas returns the quotas of the organisations that have one, by name.
func (s *Soak) quotas() map[string]quota {
	usual := float64(usualRate * s.Instances)
	return map[string]quota{usualOrganisation: {usual, usual}, floodOrganisation: {floodRate, floodBurst}}
}

// permanentKey returns the key that an organisation has in each version.
func permanentKey(organisation string) string { return "key-" + organisation }

// versionKey returns the key that a version adds to memberOrganisation and the next but one withdraws.
func versionKey(version int) string { return fmt.Sprintf("key-version-%d", version) }

// memberKeys returns the keys of memberOrganisation in a version.
func memberKeys(version int) []string {
	return []string{permanentKey(memberOrganisation), versionKey(version - 1), versionKey(version)}
}

// organisationsJSON returns the organisations of the latest version in JSON; the caller holds mu.
func (s *Soak) organisationsJSON() string {
	usual, flood := s.quotas()[usualOrganisation], s.quotas()[floodOrganisation]
	return fmt.Sprintf(`[{"name":%q,"apiKeys":["%s"],"priority":1},`, memberOrganisation, strings.Join(memberKeys(s.version), `","`)) +
		fmt.Sprintf(`{"name":%q,"apiKeys":[%q],"priority":0,"ratePerS":%g,"burst":%g},`, usualOrganisation, permanentKey(usualOrganisation), usual.rate, usual.burst) +
		fmt.Sprintf(`{"name":%q,"apiKeys":[%q],"priority":2,"ratePerS":%g,"burst":%g}]`, floodOrganisation, permanentKey(floodOrganisation), flood.rate, flood.burst)
}

// identifyMember returns a permanent key, one of the latest or of an earlier version, an unknown one or none, and claims
// another organisation with each.
func (s *Soak) identifyMember(r *rand.Rand) identity {
	i := identity{claimedName: usualOrganisation, isPrivate: true, isRefusable: true}
	switch r.IntN(6) {
	case 0:
		return identity{claimedName: usualOrganisation}
	case 1:
		return i
	case 2:
		i.key = unknownKey
		return i
	case 3:
		i.key = permanentKey(memberOrganisation)
		i.isRefusable = false
	default:
		s.mu.Lock()
		i.key = versionKey(max(0, s.version-r.IntN(oldVersions)))
		s.mu.Unlock()
	}
	i.organisation = memberOrganisation
	return i
}

func identifyUsual(*rand.Rand) identity {
	return identity{key: permanentKey(usualOrganisation), organisation: usualOrganisation, claimedName: memberOrganisation, isPrivate: true}
}

func identifyFlood(*rand.Rand) identity {
	return identity{key: permanentKey(floodOrganisation), organisation: floodOrganisation, claimedName: usualOrganisation, isPrivate: true, isRefusable: true}
}

// checkQuotas checks the quotas and writes to Out how many requests ran, and the answers on private routes.
func (s *Soak) checkQuotas() {
	for name, q := range s.quotas() {
		most, limit := s.checker.checkQuota(name, q)
		fmt.Fprintf(s.Out, "seed %d: at most %d requests of %s ran within %v, %.1f allowed\n", s.Seed, most, name, quotaWindow, limit)
	}
	fmt.Fprintf(s.Out, "seed %d: requests on private routes by status: %v\n", s.Seed, s.checker.statuses)
}
