package quota

import "siskinspar.example/distribution"

// IsBefore reports whether the daemon at address a is preferred to that at b as the coordinator of an organisation.
func IsBefore(organisation, a, b string) bool {
	scoreA, scoreB := distribution.Score(organisation, a), distribution.Score(organisation, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}

// FirstTwo returns the addresses of the daemon that coordinates an organisation and of the one that does so after it. Either
// is empty if there are too few.
func FirstTwo(organisation string, addresses []string) (first, second string) {
	for _, a := range addresses {
		switch {
		case first == "" || IsBefore(organisation, a, first):
			first, second = a, first
		case second == "" || IsBefore(organisation, a, second):
			second = a
		}
	}
	return first, second
}
