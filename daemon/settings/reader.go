package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"siskinspar.example/declaration"
)

// field binds one key of a section to the function that parses its value into the settings.
type field struct {
	section string
	key     string
	set     func(value string) error
}

// fieldsOf returns every key that a settings file may hold.
func fieldsOf(s *Settings) []field {
	return []field{
		{"instance", "name", text(&s.Instance.Name)},
		{"instance", "data-centre", text(&s.Instance.DataCentre)},
		{"instance", "labels", labels(&s.Instance.Labels)},
		{"callers", "listen", text(&s.Callers.Listen)},
		{"callers", "connections", count(&s.Callers.Connections)},
		{"callers", "header-size", count(&s.Callers.HeaderSize)},
		{"callers", "queue-length", count(&s.Callers.QueueLength)},
		{"peers", "listen", text(&s.Peers.Listen)},
		{"peers", "advertise", text(&s.Peers.Advertise)},
		{"peers", "seeds", list(&s.Peers.Seeds)},
		{"peers", "key", text(&s.Peers.Key)},
		{"peers", "certificate", text(&s.Peers.Certificate)},
		{"peers", "private-key", text(&s.Peers.PrivateKey)},
		{"peers", "authority", text(&s.Peers.Authority)},
		{"peers", "connections", count(&s.Peers.Connections)},
		{"operators", "listen", text(&s.Operators.Listen)},
		{"operators", "advertise", text(&s.Operators.Advertise)},
		{"operators", "token", text(&s.Operators.Token)},
		{"operators", "backend-token", text(&s.Operators.BackendToken)},
		{"operators", "connections", count(&s.Operators.Connections)},
		{"platform", "address", text(&s.Platform.Address)},
		{"platform", "timeout", duration(&s.Platform.Timeout)},
		{"control", "probe-period", duration(&s.Control.ProbePeriod)},
		{"control", "suspicion", duration(&s.Control.Suspicion)},
		{"control", "poll-period", duration(&s.Control.PollPeriod)},
		{"drain", "notice", duration(&s.Drain.Notice)},
		{"drain", "limit", duration(&s.Drain.Limit)},
		{"log", "level", text(&s.Log.Level)},
	}
}

// Read parses a settings file and returns the settings, and a fault for each invalid value and unknown key.
//
// It returns an error when the file can't be read or is no INI file.
func Read(path string) (*Settings, []Fault, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read settings %s", path)
	}
	s := &Settings{}
	known := map[string]bool{}
	var faults []Fault
	for _, f := range fieldsOf(s) {
		known[f.section+"\n"+f.key] = true
		if !file.Section(f.section).HasKey(f.key) {
			continue
		}
		if err := f.set(file.Section(f.section).Key(f.key).String()); err != nil {
			faults = append(faults, NewFault(f.section, f.key, err.Error()))
		}
	}
	return s, append(faults, findUnknown(file, known)...), nil
}

func findUnknown(file *ini.File, known map[string]bool) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"\n"+key.Name()] {
				faults = append(faults, NewFault(section.Name(), key.Name(), "unknown key"))
			}
		}
	}
	return faults
}

// text returns a function that sets a string; count, duration, list and labels do the same for their types.
func text(into *string) func(string) error {
	return func(value string) error {
		*into = value
		return nil
	}
}

func count(into *int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return eris.Errorf("%q is not a whole number above zero", value)
		}
		*into = n
		return nil
	}
}

func duration(into *time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return eris.Errorf("%q is not a duration above zero, such as 500ms", value)
		}
		*into = d
		return nil
	}
}

func list(into *[]string) func(string) error {
	return func(value string) error {
		for item := range strings.SplitSeq(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*into = append(*into, item)
			}
		}
		return nil
	}
}

func labels(into *declaration.Labels) func(string) error {
	return func(value string) error {
		parsed, err := ParseLabels(value)
		*into = parsed
		return err
	}
}

// ParseLabels parses key=value pairs that are separated by commas; it returns an error for an item without "=" or key.
func ParseLabels(value string) (declaration.Labels, error) {
	var pairs []string
	_ = list(&pairs)(value)
	parsed := declaration.Labels{}
	for _, pair := range pairs {
		key, v, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return nil, eris.Errorf("%q is not key=value", pair)
		}
		parsed[strings.TrimSpace(key)] = strings.TrimSpace(v)
	}
	return parsed, nil
}
