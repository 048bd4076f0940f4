package rollout

import "time"

// maximumFormer bounds the ended roll-outs of former orders that a daemon remembers.
const maximumFormer = 16

// Book holds the roll-outs that one daemon knows, the latest of each service. The zero value is ready for use once Bounds
// is set; it is not safe for concurrent use.
type Book struct {
	Bounds Bounds

	courses map[string]*Course
	// former are ended roll-outs that other orders have replaced, the oldest first. A store that has come back from an
	// older copy may hold their orders again.
	former []Rollout
}

// Course returns the course of a service, or nil if no order for it is known.
func (b *Book) Course(service string) *Course { return b.courses[service] }

// Courses returns the courses of all services, in no order.
func (b *Book) Courses() []*Course {
	all := make([]*Course, 0, len(b.courses))
	for _, c := range b.courses {
		all = append(all, c)
	}
	return all
}

// AddOrder records an order that was read at the store, and that is as old as elapsed. It reports whether it replaces
// what was known of the service. An order that has ended before is not begun again.
func (b *Book) AddOrder(now time.Time, o Order, elapsed time.Duration) bool {
	known := b.courses[o.service]
	if known != nil && o.IsSame(known.latest.Order) {
		known.latest.Order.era = max(known.latest.Order.era, o.era)
		return false
	}
	r := Rollout{Order: o}
	for _, f := range b.former {
		if f.Order.IsSame(o) {
			r.Step = f.Step
		}
	}
	if known != nil && !o.IsNewer(known.latest.Order) {
		return false
	}
	b.replace(now, r, elapsed)
	return true
}

// Learn records what another daemon or the store tells of a roll-out, and reports whether it replaces what was known.
// Elapsed is the time since the order, silence that since the roll-out controller confirmed the step.
func (b *Book) Learn(now time.Time, r Rollout, elapsed, silence time.Duration) bool {
	known := b.courses[r.Order.service]
	isNew := known == nil || r.Order.IsNewer(known.latest.Order)
	if !isNew && !r.Order.IsSame(known.latest.Order) {
		return false
	}
	if isNew {
		b.replace(now, r, elapsed)
		known = b.courses[r.Order.service]
	} else if r.Step.Number > 0 && known.latest.Step.Number == 0 {
		known.Begin(now.Add(-elapsed))
	}
	isChanged := known.Apply(now, r) || isNew
	if known.latest.Step == r.Step && r.Step.Number > 0 && silence < unheard {
		known.Confirm(now.Add(-silence))
	}
	return isChanged
}

// replace makes a roll-out the latest one of its service.
func (b *Book) replace(now time.Time, r Rollout, elapsed time.Duration) {
	if b.courses == nil {
		b.courses = map[string]*Course{}
	}
	if known := b.courses[r.Order.service]; known != nil && known.latest.Step.IsEnded() {
		b.former = append(b.former, known.latest)
		b.former = b.former[max(0, len(b.former)-maximumFormer):]
	}
	b.courses[r.Order.service] = newCourse(now, r, elapsed, b.Bounds)
}
