package rollout

import (
	"math"
	"time"
)

const (
	// recentSpan is the time in which the weight of a response of the other versions falls to a third: only those of the
	// same seconds show a trouble that both versions have.
	recentSpan = 4 * time.Second
	// minimumSample is the number of responses from which a share of the other versions is used, and minimumMedian that
	// from which a median is.
	minimumSample = 20
	minimumMedian = 8
	// slowBuckets is the distance in buckets from the median of the other versions at which a response is slow: a factor of
	// 2.6 to 3.1. The fastest and the slowest backend server of one version differ by 3.2, but each by less from the median.
	slowBuckets = 12
	// priorResponses are added to the responses of the other versions, so that one failure of a few is no high share.
	priorResponses = 5
	// centre is the bucket of a time that equals the median of its route, in samples of several routes.
	centre = bucketCount / 2
)

// sample holds weighted responses of the other versions.
type sample struct {
	responses, failures, timed float64
	times                      [bucketCount]float64
}

// add adds responses whose times are in buckets that are moved by a shift.
func (s *sample) add(c Count, shift int) {
	s.responses += float64(c.Responses)
	s.failures += float64(c.Failures)
	for _, b := range c.Times {
		s.times[min(max(0, int(b.Index)+shift), bucketCount-1)] += float64(b.Count)
		s.timed += float64(b.Count)
	}
}

// fade reduces the weight of all responses to a part.
func (s *sample) fade(part float64) {
	s.responses *= part
	s.failures *= part
	s.timed *= part
	for i := range s.times {
		s.times[i] *= part
	}
}

// failureShare returns the share of failures.
func (s *sample) failureShare() float64 { return s.failures / (s.responses + priorResponses) }

// median returns the bucket of the median, or false if there are too few times.
func (s *sample) median(minimum float64) (int, bool) {
	if s.timed < minimum {
		return 0, false
	}
	sum := 0.0
	for i, n := range s.times {
		if sum += n; sum >= s.timed/2 {
			return i, true
		}
	}
	return bucketCount - 1, true
}

// shareFrom returns the share of the times from a bucket on.
func (s *sample) shareFrom(bucket int) float64 {
	if s.timed == 0 {
		return 0
	}
	sum := 0.0
	for i := max(0, bucket); i < bucketCount; i++ {
		sum += s.times[i]
	}
	return sum / s.timed
}

// baseline holds the responses of the other versions: those of the latest reports, of the last seconds, and all.
type baseline struct{ latest, recent, all sample }

// begin makes place for the counts of the latest reports, which follow those before after some time.
func (b *baseline) begin(after time.Duration) {
	b.latest = sample{}
	b.recent.fade(math.Exp(-float64(after) / float64(recentSpan)))
}

func (b *baseline) add(c Count, shift int) {
	b.latest.add(c, shift)
	b.recent.add(c, shift)
	b.all.add(c, shift)
}

// failureShare returns the share of failures of the other versions in the same seconds.
func (b *baseline) failureShare() float64 {
	share := b.recent.failureShare()
	if b.recent.responses < minimumSample {
		share = b.all.failureShare()
	}
	if b.latest.responses >= minimumMedian {
		share = max(share, b.latest.failureShare())
	}
	return share
}

// median returns the bucket of the median time of the other versions, or false if too few are known.
func (b *baseline) median() (int, bool) {
	if m, ok := b.recent.median(minimumSample); ok {
		return m, true
	}
	return b.all.median(minimumMedian)
}

// slow returns the distance in buckets from the median of its route at which a response is slow, and the share of such
// responses of the other versions. The baseline is that of all routes. While the other versions take longer than before, the
// distance is longer.
func (b *baseline) slow() (distance int, share float64) {
	distance = slowBuckets
	if m, ok := b.latest.median(minimumMedian); ok {
		distance += max(0, m-centre)
	}
	share = b.recent.shareFrom(centre + distance)
	if b.recent.timed < minimumSample {
		share = b.all.shareFrom(centre + distance)
	}
	if b.latest.timed >= minimumSample {
		share = max(share, b.latest.shareFrom(centre+distance))
	}
	return distance, share
}
