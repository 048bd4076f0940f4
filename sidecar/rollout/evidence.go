package rollout

import "math"

const (
	// othersFactor is the part of the threshold that the backend servers but the worst have to reach, so that one bad
	// server is not taken for a bad version.
	othersFactor = 0.25
	// minimumOthers is the number of responses of the other backend servers from which that is asked of them. With fewer,
	// the threshold is loneFactor times as high.
	minimumOthers = 10
	loneFactor    = 2
	// highestNormal and highestBad bound the shares that are compared.
	highestNormal = 0.85
	highestBad    = 0.97
)

// evidence is a cumulative sum test: it adds the logarithm of how much more likely each response of the target version is
// if the version is bad than if it is as the others, and starts anew when the sum falls below 0.
type evidence struct {
	score float64
	// bad is the number of bad responses in the sum.
	bad     int
	servers map[string]*contribution
}

// contribution is the part of one backend server in the sum.
type contribution struct {
	score     float64
	responses int
}

// ratio compares a share of bad responses that is normal with one that is not.
type ratio struct{ ifBad, ifGood float64 }

// newRatio returns the ratio for a normal and an abnormal share.
func newRatio(normal, abnormal float64) ratio {
	normal = min(normal, highestNormal)
	abnormal = min(abnormal, highestBad)
	return ratio{ifBad: math.Log(abnormal / normal), ifGood: math.Log((1 - abnormal) / (1 - normal))}
}

// add adds responses of a backend server, of which some are bad.
func (e *evidence) add(server string, responses, bad int, r ratio) {
	score := float64(bad)*r.ifBad + float64(responses-bad)*r.ifGood
	e.score += score
	if e.score <= 0 {
		*e = evidence{}
		return
	}
	e.bad += bad
	if e.servers == nil {
		e.servers = map[string]*contribution{}
	}
	c, ok := e.servers[server]
	if !ok {
		c = &contribution{}
		e.servers[server] = c
	}
	c.score += score
	c.responses += responses
}

// reaches reports whether the sum shows that the version is bad, and not only one of its backend servers.
func (e *evidence) reaches(threshold float64) bool {
	if e.score < threshold {
		return false
	}
	var worst contribution
	responses := 0
	for _, c := range e.servers {
		responses += c.responses
		if c.score > worst.score {
			worst = *c
		}
	}
	if responses-worst.responses < minimumOthers {
		return e.score >= loneFactor*threshold || e.score-worst.score >= othersFactor*threshold
	}
	return e.score-worst.score >= othersFactor*threshold
}
