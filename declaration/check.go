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
		faults = append(faults, e.faults(func(name string) bool { return services[name] })...)
	}
	return append(faults, findAmbiguousMatches(entries)...)
}

// CheckSet returns an *InvalidError when the set is at fault.
func CheckSet(s Set) error {
	entries := make([]Entry, 0, s.Len())
	for _, key := range s.Keys() {
		e, _ := s.Find(key)
		entries = append(entries, e)
	}
	return NewInvalidError(Check(entries))
}

// CheckChange returns an *InvalidError when edits of a faultless set made the given set faulty.
//
// It looks only at what the edits can have broken.
func CheckChange(s Set, edits []Edit) error {
	var faults []Fault
	changed := map[Key]bool{}
	for _, edit := range edits {
		changed[edit.Key] = true
		if e, ok := s.Find(edit.Key); ok {
			faults = append(faults, e.faults(s.hasService)...)
		}
	}
	faults = append(faults, findOrphans(s, changed)...)
	return NewInvalidError(append(faults, findAmbiguousChanges(s, changed)...))
}

// findOrphans returns the faults of unchanged intents whose service was removed.
func findOrphans(s Set, changed map[Key]bool) []Fault {
	removed := map[string]bool{}
	for key := range changed {
		if key.Kind == KindService && !s.hasService(key.Name) {
			removed[key.Name] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	var faults []Fault
	for e := range s.All() {
		if e.intent != nil && removed[e.intent.Target] && !changed[e.key] {
			faults = append(faults, e.faults(s.hasService)...)
		}
	}
	return faults
}

func (s Set) hasService(name string) bool {
	_, ok := s.Find(Key{Kind: KindService, Name: name})
	return ok
}

// faults returns the defects of an entry by itself and of its reference to a service.
func (e Entry) faults(hasService func(name string) bool) []Fault {
	var faults []Fault
	for _, reason := range e.reasons {
		faults = append(faults, e.fault(e.key.String()+": "+reason))
	}
	if e.intent != nil && !hasService(e.intent.Target) {
		faults = append(faults, e.fault(fmt.Sprintf("%s: target: no service %q", e.key, e.intent.Target)))
	}
	return faults
}

func checkAlone(e Entry) []string {
	var reasons []string
	if len(e.key.Name) > MaximumNameLength || !namePattern.MatchString(e.key.Name) {
		reasons = append(reasons, "name must be lower case letters, digits, dots and hyphens")
	}
	if e.service != nil {
		return append(reasons, checkService(*e.service)...)
	}
	return append(reasons, checkIntent(*e.intent)...)
}

func checkService(s Service) []string {
	reasons := checkLabels("labels", s.Labels)
	reasons = append(reasons, checkLabels("backendServers", s.BackendServers)...)
	if len(s.BackendServers) == 0 {
		reasons = append(reasons, "backendServers: selector must name at least one label")
	}
	return reasons
}

func checkIntent(i Intent) []string {
	reasons := checkLabels("labels", i.Labels)
	reasons = append(reasons, checkLabels("proxies", i.Proxies)...)
	reasons = append(reasons, checkLabels("backendServers", i.BackendServers)...)
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

// place is where an intent matches.
type place struct{ host, prefix string }

func placeOf(i *Intent) place { return place{strings.ToLower(i.Match.Host), i.Match.PathPrefix} }

func findAmbiguousMatches(entries []Entry) []Fault {
	seen := make(map[place][]Entry)
	var faults []Fault
	for _, e := range entries {
		if e.intent == nil {
			continue
		}
		faults = append(faults, compareMatches(e, seen[e.at])...)
		seen[e.at] = append(seen[e.at], e)
	}
	return faults
}

func compareMatches(e Entry, others []Entry) []Fault {
	var faults []Fault
	for _, other := range others {
		if isAmbiguous(*e.intent, *other.intent) {
			faults = append(faults, e.fault(fmt.Sprintf("%s: match is the same as that of %s on proxies that carry both", e.key, other.key)))
		}
	}
	return faults
}

// findAmbiguousChanges compares the changed intents with all that match at the same place.
func findAmbiguousChanges(s Set, changed map[Key]bool) []Fault {
	at := map[place][]Entry{}
	for key := range changed {
		if e, ok := s.Find(key); ok && e.intent != nil {
			at[e.at] = nil
		}
	}
	if len(at) == 0 {
		return nil
	}
	for e := range s.All() {
		if e.intent == nil {
			continue
		}
		if others, ok := at[e.at]; ok {
			at[e.at] = append(others, e)
		}
	}
	var faults []Fault
	for _, entries := range at {
		slices.SortFunc(entries, func(a, b Entry) int { return CompareKeys(a.key, b.key) })
		faults = append(faults, findAmbiguousMatches(entries)...)
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
