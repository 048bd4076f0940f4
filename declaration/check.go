package declaration

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// MaximumNameLength is the longest name, label key or label value that is valid, in bytes.
const MaximumNameLength = 128

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Check returns the faults of each declaration by itself and those of the declarations taken together.
//
// Taken together, an intent is at fault when its service is missing, or when an
// intent with the same host and path prefix can match the same request on one
// daemon.
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

// CheckSet returns an *InvalidError with all faults of the set, or nil when it is valid.
func CheckSet(s Set) error {
	entries := make([]Entry, 0, s.Len())
	for _, key := range s.Keys() {
		e, _ := s.Find(key)
		entries = append(entries, e)
	}
	return NewInvalidError(Check(entries))
}

// CheckChange returns an *InvalidError when edits made a valid set invalid; s is the set with the edits applied.
//
// It checks only the declarations that the edits can have made invalid: the
// edited ones, the intents of deleted services, and the intents with the host and
// path prefix of an edited one.
func CheckChange(s Set, edits []Edit) error {
	var faults []Fault
	changed := map[Key]bool{}
	for _, edit := range edits {
		changed[edit.Key] = true
		if e, ok := s.Find(edit.Key); ok {
			faults = append(faults, e.faults(s.hasService)...)
		}
	}
	faults = append(faults, findOrphanedIntents(s, changed)...)
	return NewInvalidError(append(faults, findAmbiguousChanges(s, changed)...))
}

// findOrphanedIntents returns the faults of unchanged intents whose service was removed.
func findOrphanedIntents(s Set, changed map[Key]bool) []Fault {
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

// faults returns what is wrong with an entry itself, and a fault when its service is missing.
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

// checkEntry returns what is wrong with an entry regardless of other entries.
func checkEntry(e Entry) []string {
	var reasons []string
	if len(e.key.Name) > MaximumNameLength || !namePattern.MatchString(e.key.Name) {
		reasons = append(reasons, fmt.Sprintf("name must be lower case letters, digits, dots and hyphens, start and end with a letter or digit, and have at most %d bytes, has %d", MaximumNameLength, len(e.key.Name)))
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
		reasons = append(reasons, fmt.Sprintf("limits.requestsPerSecond: must not be below zero, is %v", i.Limits.RequestsPerSecond))
	}
	if i.Limits.Concurrency < 0 {
		reasons = append(reasons, fmt.Sprintf("limits.concurrency: must not be below zero, is %d", i.Limits.Concurrency))
	}
	if i.ProtectedShare < 0 || i.ProtectedShare > 1 {
		reasons = append(reasons, fmt.Sprintf("protectedShare: must be from 0 to 1, is %v", i.ProtectedShare))
	}
	if i.Upload && i.Unrepeatable {
		reasons = append(reasons, "upload: can't be unrepeatable as well, since the answers of unrepeatable requests are stored by key")
	}
	if !slices.Contains(Priorities(), i.Priority) {
		reasons = append(reasons, fmt.Sprintf("priority: %q is not high, normal or low", i.Priority))
	}
	if i.Timeout <= 0 || i.Timeout > MaximumTimeout {
		reasons = append(reasons, fmt.Sprintf("timeout: must be above zero and at most %s, is %s", MaximumTimeout, i.Timeout))
	}
	return reasons
}

func checkMatch(m Match) []string {
	var reasons []string
	if !strings.HasPrefix(m.PathPrefix, "/") {
		reasons = append(reasons, fmt.Sprintf("match.pathPrefix: must start with /, is %q", m.PathPrefix))
	}
	if len(m.PathPrefix) > 1 && strings.HasSuffix(m.PathPrefix, "/") {
		reasons = append(reasons, fmt.Sprintf("match.pathPrefix: must not end with /, is %q", m.PathPrefix))
	}
	for _, method := range m.Methods {
		if !slices.Contains(methods, method) {
			reasons = append(reasons, fmt.Sprintf("match.methods: unknown method %q", method))
		}
	}
	return reasons
}

// checkLabels returns a reason for each label of a field whose key or value has a wrong size; it shows at most 32
// characters of the key.
func checkLabels(field string, labels map[string]string) []string {
	var reasons []string
	for key, value := range labels {
		if key == "" || len(key) > MaximumNameLength || len(value) > MaximumNameLength {
			reasons = append(reasons, fmt.Sprintf("%s: label keys must have 1 to %d bytes and label values at most %d, key %.32q has %d and its value %d", field, MaximumNameLength, MaximumNameLength, key, len(key), len(value)))
		}
	}
	return reasons
}

// hostPrefix is the host, in lower case, and the path prefix of the requests that an intent matches.
type hostPrefix struct{ host, prefix string }

func hostPrefixOf(i *Intent) hostPrefix {
	return hostPrefix{strings.ToLower(i.Match.Host), i.Match.PathPrefix}
}

// findAmbiguousMatches returns a fault for each pair of intents that can match the same request on one daemon.
func findAmbiguousMatches(entries []Entry) []Fault {
	seen := make(map[hostPrefix][]Entry)
	var faults []Fault
	for _, e := range entries {
		if e.intent == nil {
			continue
		}
		faults = append(faults, compareMatches(e, seen[e.hostPrefix])...)
		seen[e.hostPrefix] = append(seen[e.hostPrefix], e)
	}
	return faults
}

// compareMatches returns a fault for each of the others that e is ambiguous with; all have one host and path prefix.
func compareMatches(e Entry, others []Entry) []Fault {
	var faults []Fault
	for _, other := range others {
		if isAmbiguous(*e.intent, *other.intent) {
			faults = append(faults, e.fault(fmt.Sprintf("%s: match is the same as that of %s on proxies that both intents select", e.key, other.key)))
		}
	}
	return faults
}

// findAmbiguousChanges returns the faults of intents with the host and path prefix of a changed intent.
func findAmbiguousChanges(s Set, changed map[Key]bool) []Fault {
	byHostPrefix := map[hostPrefix][]Entry{}
	for key := range changed {
		if e, ok := s.Find(key); ok && e.intent != nil {
			byHostPrefix[e.hostPrefix] = nil
		}
	}
	if len(byHostPrefix) == 0 {
		return nil
	}
	for e := range s.All() {
		if e.intent == nil {
			continue
		}
		if others, ok := byHostPrefix[e.hostPrefix]; ok {
			byHostPrefix[e.hostPrefix] = append(others, e)
		}
	}
	var faults []Fault
	for _, entries := range byHostPrefix {
		slices.SortFunc(entries, func(a, b Entry) int { return CompareKeys(a.key, b.key) })
		faults = append(faults, findAmbiguousMatches(entries)...)
	}
	return faults
}

// isAmbiguous reports whether a request with a common method can match both intents on one daemon.
//
// An intent without methods is not ambiguous with one that names some, since
// the latter is preferred.
func isAmbiguous(a, b Intent) bool {
	if a.Name == b.Name || a.Proxies.IsDisjoint(b.Proxies) {
		return false
	}
	if len(a.Match.Methods) == 0 || len(b.Match.Methods) == 0 {
		return len(a.Match.Methods) == len(b.Match.Methods)
	}
	return slices.ContainsFunc(a.Match.Methods, func(m string) bool { return slices.Contains(b.Match.Methods, m) })
}
