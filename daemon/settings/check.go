package settings

import (
	"net/netip"
)

// CheckAddress returns a fault of the key unless its value is an IP number with a port.
func CheckAddress(section, key, value string) []Fault {
	if value == "" {
		return []Fault{NewFault(section, key, "is missing")}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return []Fault{NewFault(section, key, "must be an IP number with a port, such as 127.0.0.1:7001")}
	}
	return nil
}

// CheckPresent returns a fault of the key when its value is empty.
func CheckPresent(section, key, value string) []Fault {
	if value == "" {
		return []Fault{NewFault(section, key, "is missing")}
	}
	return nil
}

// Default sets a setting that has its zero value because the settings file leaves it out.
func Default[T comparable](into *T, value T) {
	var zero T
	if *into == zero {
		*into = value
	}
}
