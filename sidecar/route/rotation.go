package route

import "math"

// goldenRatio is the fraction whose multiples, without their whole parts, are spread most evenly over 0 to 1.
const goldenRatio = 0.6180339887498949

// Rotation draws the clusters of weighted routes in turn, so that each gets its weight also of few requests. Independent
// draws would leave a cluster up to 0.1 off its share of 200 requests from time to time. The zero value is ready for use. It is
// not safe for concurrent use.
type Rotation struct {
	// latest holds the latest draw by the name of the route.
	latest map[string]float64
}

// Draw returns the next draw for Route.Service, from 0 up to but not including 1. The first draw of a route is random,
// so that the rotations of many daemons don't run in step.
func (r *Rotation) Draw(route string, random func() float64) float64 {
	if r.latest == nil {
		r.latest = map[string]float64{}
	}
	draw, ok := r.latest[route]
	if !ok {
		draw = random()
	}
	_, draw = math.Modf(draw + goldenRatio)
	r.latest[route] = draw
	return draw
}
