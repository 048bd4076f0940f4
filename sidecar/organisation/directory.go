package organisation

import (
	"strings"

	"github.com/rotisserie/eris"
)

// scheme is the authentication scheme of API keys, which is compared without regard to case.
const scheme = "bearer"

// Directory finds organisations by their API keys; it is immutable.
type Directory struct {
	byKey  map[string]*Organisation
	byName map[string]*Organisation
}

// NewDirectory checks and compiles the declared organisations. The error names the first one at fault.
func NewDirectory(declared []Declared) (*Directory, error) {
	d := &Directory{byKey: map[string]*Organisation{}, byName: map[string]*Organisation{}}
	for _, o := range declared {
		if err := d.add(o); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(declared Declared) error {
	switch {
	case declared.Name == "":
		return eris.New("an organisation has no name")
	case d.byName[declared.Name] != nil:
		return eris.Errorf("organisation %q is declared twice", declared.Name)
	case declared.Priority < 0:
		return eris.Errorf("organisation %q has the priority %d, below 0", declared.Name, declared.Priority)
	case !declared.Quota.isValid():
		return eris.Errorf("organisation %q has a quota out of range: %v requests a second, burst %v", declared.Name, declared.Quota.Rate, declared.Quota.Burst)
	}
	o := &Organisation{name: declared.Name, priority: declared.Priority, quota: declared.Quota}
	d.byName[o.name] = o
	for _, k := range declared.Keys {
		if k == "" {
			return eris.Errorf("organisation %q has an empty key", declared.Name)
		}
		if other, ok := d.byKey[k]; ok && other != o {
			return eris.Errorf("organisations %q and %q share a key", other.name, declared.Name)
		}
		d.byKey[k] = o
	}
	return nil
}

// Find returns the organisation of a name, or nil if there is none.
func (d *Directory) Find(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Identify returns the organisation that holds the key in the values of the Authorization header of a request. It
// reports false if there is not exactly one value, it is malformed, or no organisation holds the key.
func (d *Directory) Identify(authorization []string) (*Organisation, bool) {
	if len(authorization) != 1 {
		return nil, false
	}
	used, key, ok := strings.Cut(authorization[0], " ")
	if !ok || !strings.EqualFold(used, scheme) {
		return nil, false
	}
	o, ok := d.byKey[strings.Trim(key, " ")]
	return o, ok
}
