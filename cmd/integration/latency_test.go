package integration_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchange sends one small request and returns its latency.
func exchange(b *testing.B, client *http.Client, address string) time.Duration {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/status", strings.NewReader(strings.Repeat("x", 64)))
	assert.NilError(b, err)
	started := time.Now()
	response, err := client.Do(r)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	_ = response.Body.Close()
	return time.Since(started)
}

// BenchmarkTwoHops measures what the two hops through separate processes add, each call paired with a direct one.
func BenchmarkTwoHops(b *testing.B) {
	for _, perSecond := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			m := newMesh(b)
			near := m.add("near", "a", "")
			far := m.add("far", "b", "")
			_, address := far.addBackend("desk-1")
			m.settle(1)
			output, code := near.apply(m.declare(standardDeclarations))
			assert.Equal(b, code, 0, output)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			var direct, through []time.Duration
			for range 6 * perSecond {
				due := time.Now().Add(time.Second / time.Duration(perSecond))
				direct = append(direct, exchange(b, client, address))
				through = append(through, exchange(b, client, near.callers()))
				time.Sleep(time.Until(due))
			}
			slices.Sort(direct)
			slices.Sort(through)
			for _, q := range []struct {
				name  string
				share float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				at := int(q.share * float64(len(direct)))
				b.ReportMetric(float64(direct[at].Microseconds()), "direct-"+q.name+"-us")
				b.ReportMetric(float64((through[at] - direct[at]).Microseconds()), "added-"+q.name+"-us")
			}
		})
	}
}
