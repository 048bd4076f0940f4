package declaration

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// MaximumNameLength bounds names, label keys and label values in characters.
const MaximumNameLength = 128

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Check returns the faults of the declarations taken together.
func Check(entries []Entry) []Fault {
	services := make(map[string]bool)
	for _, e := range entries {
		if e.service != nil {
			services[e.service.Name] = true
		}
	}
	var faults []Fault
	for _, e := range entries {
		for _, reason := range checkEntry(e, services) {
			faults = append(faults, e.fault(e.key.String()+": "+reason))
		}
	}
	return append(faults, findAmbiguousMatches(entries)...)
}

// CheckSet returns an *InvalidError when the set is at fault.
func CheckSet(s Set) error {
	entries := make([]Entry, 0, s.Len())
	for _, key := range s.Keys() {
		entries = append(entries, s.entries[key])
	}
	return NewInvalidError(Check(entries))
}

func checkEntry(e Entry, services map[string]bool) []string {
	var reasons []string
	if len(e.key.Name) > MaximumNameLength || !namePattern.MatchString(e.key.Name) {
		reasons = append(reasons, "name must be lower case letters, digits, dots and hyphens")
	}
	if e.service != nil {
		return append(reasons, checkService(*e.service)...)
	}
	return append(reasons, checkIntent(*e.intent, services)...)
}

func checkService(s Service) []string {
	reasons := checkLabels("labels", s.Labels)
	reasons = append(reasons, checkLabels("backendServers", s.BackendServers)...)
	if len(s.BackendServers) == 0 {
		reasons = append(reasons, "backendServers: selector must name at least one label")
	}
	return reasons
}

func checkIntent(i Intent, services map[string]bool) []string {
	reasons := checkLabels("labels", i.Labels)
	reasons = append(reasons, checkLabels("proxies", i.Proxies)...)
	reasons = append(reasons, checkLabels("backendServers", i.BackendServers)...)
	if !services[i.Target] {
		reasons = append(reasons, fmt.Sprintf("target: no service %q", i.Target))
	}
	reasons = append(reasons, checkMatch(i.Match)...)
	if i.Limits.RequestsPerSecond < 0 {
		reasons = append(reasons, "limits.requestsPerSecond: must not be below zero")
	}
	if i.Limits.Concurrency < 0 {
		reasons = append(reasons, "limits.concurrency: must not be below zero")
	}
	if i.ProtectedShare < 0 || i.ProtectedShare > 1 {
		reasons = append(reasons, "protectedShare: must be from 0 to 1")
	}
	if !slices.Contains(Priorities(), i.Priority) {
		reasons = append(reasons, fmt.Sprintf("priority: %q is not high, normal or low", i.Priority))
	}
	if i.Timeout <= 0 || i.Timeout > MaximumTimeout {
		reasons = append(reasons, "timeout: must be above zero and at most 1h")
	}
	return reasons
}

func checkMatch(m Match) []string {
	var reasons []string
	if !strings.HasPrefix(m.PathPrefix, "/") {
		reasons = append(reasons, "match.pathPrefix: must start with /")
	}
	if len(m.PathPrefix) > 1 && strings.HasSuffix(m.PathPrefix, "/") {
		reasons = append(reasons, "match.pathPrefix: must not end with /")
	}
	for _, method := range m.Methods {
		if !slices.Contains(methods, method) {
			reasons = append(reasons, fmt.Sprintf("match.methods: unknown method %q", method))
		}
	}
	return reasons
}

func checkLabels(field string, labels map[string]string) []string {
	var reasons []string
	for key, value := range labels {
		if key == "" || len(key) > MaximumNameLength || len(value) > MaximumNameLength {
			reasons = append(reasons, field+": label keys and values must have 1 to 128 characters")
		}
	}
	return reasons
}

func findAmbiguousMatches(entries []Entry) []Fault {
	type place struct{ host, prefix string }
	seen := make(map[place][]Entry)
	var faults []Fault
	for _, e := range entries {
		if e.intent == nil {
			continue
		}
		at := place{e.intent.Match.Host, e.intent.Match.PathPrefix}
		for _, other := range seen[at] {
			if isAmbiguous(*e.intent, *other.intent) {
				faults = append(faults, e.fault(fmt.Sprintf("%s: match is the same as that of %s on proxies that carry both", e.key, other.key)))
			}
		}
		seen[at] = append(seen[at], e)
	}
	return faults
}

func isAmbiguous(a, b Intent) bool {
	if a.Name == b.Name || a.Proxies.IsDisjoint(b.Proxies) {
		return false
	}
	if len(a.Match.Methods) == 0 || len(b.Match.Methods) == 0 {
		return len(a.Match.Methods) == len(b.Match.Methods)
	}
	return slices.ContainsFunc(a.Match.Methods, func(m string) bool { return slices.Contains(b.Match.Methods, m) })
}
