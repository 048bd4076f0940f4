package slope_test

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/capacity/slope"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/standin/child"
	"siskinspar.example/standin/loopback"
	"siskinspar.example/standin/platform"
	"siskinspar.example/versionlog"
)

// BenchmarkWirePush measures the size of the push message with one change.
func BenchmarkWirePush(b *testing.B) {
	for _, services := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			set, err := slope.NewSet(services)
			assert.NilError(b, err)
			state := must[versionlog.State](b)(slope.NewState(set))
			change := must[versionlog.Change](b)(slope.NewChange(state, 7, time.Unix(1, 0)))
			recordFigure(b, "push.bytes", float64(services), "B", encodedBytes(b, peer.PushRequest{Changes: []versionlog.Change{change}, Scope: distribution.WholeMesh}))
		})
	}
}

// secret authenticates the processes of this run to each other, and its operators.
var secret = "measured-" + rand.Text()

// processSettings is the settings file of a daemon: platform address, IP number of the daemon, data centre and IP number
// of the first daemon.
var processSettings = `
[instance]
name = measured-%[2]s
data-centre = %[3]s
[callers]
listen = %[2]s:7001
[peers]
listen = %[2]s:7002
seeds = %[4]s:7002
key = ` + secret + `
[operators]
listen = %[2]s:7003
token = ` + secret + `
backend-token = ` + secret + `
[platform]
address = %[1]s
`

// process is a daemon that runs as a process of its own and listens on its own loopback address.
type process struct {
	*child.Child
	host string
}

// startProcesses builds the binary, starts daemons in three data centres and waits until all are ready.
func startProcesses(b *testing.B, count int) []process {
	b.Helper()
	directory := b.TempDir()
	binary := filepath.Join(directory, "siskinspar")
	output, err := exec.Command("go", "build", "-o", binary, "siskinspar.example/cmd/siskinspar").CombinedOutput()
	assert.NilError(b, err, string(output))
	store := httptest.NewServer(&platform.Server{})
	b.Cleanup(store.Close)
	var processes []process
	seed := loopback.Host()
	for i := range count {
		p := process{host: seed}
		if i > 0 {
			p.host = loopback.Host()
		}
		path := filepath.Join(directory, p.host+".ini")
		assert.NilError(b, os.WriteFile(path, fmt.Appendf(nil, processSettings, strings.TrimPrefix(store.URL, "http://"), p.host, string(rune('a'+i%3)), seed), 0o600))
		p.Child = &child.Child{Path: binary, Arguments: []string{"daemon", "--settings", path}, Ready: "daemon: started"}
		assert.NilError(b, p.Run())
		b.Cleanup(p.Kill)
		processes = append(processes, p)
	}
	for _, p := range processes {
		p.awaitReady(b)
	}
	return processes
}

// awaitReady waits until the daemon reports ready; it fails the benchmark after 600 attempts, 50 ms apart.
func (p process) awaitReady(b *testing.B) {
	b.Helper()
	for range 600 {
		response, err := http.Get("http://" + p.host + ":7003/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatalf("daemon at %s is not ready after 600 attempts", p.host)
}

// bytesSent returns the control traffic in bytes that the daemon has sent since its start.
func (p process) bytesSent(b *testing.B) float64 {
	b.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+p.host+":7003/metrics", nil)
	assert.NilError(b, err)
	r.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	defer response.Body.Close()
	var gauges map[string]struct {
		Value float64 `json:"value"`
	}
	assert.NilError(b, json.NewDecoder(response.Body).Decode(&gauges))
	return gauges["control.bytes.sent"].Value
}

// processorTime returns the user and system time of the daemon in seconds, from fields 14 and 15 of /proc/PID/stat.
//
// The kernel counts them in ticks of 10 ms.
func (p process) processorTime(b *testing.B) float64 {
	b.Helper()
	const ticksPerSecond = 100
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	assert.NilError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(b, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(b, err)
	return (user + system) / ticksPerSecond
}

// residentBytes returns the resident memory of the daemon in bytes.
func (p process) residentBytes(b *testing.B) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	assert.NilError(b, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			assert.NilError(b, err)
			return kilobytes * 1024
		}
	}
	b.Fatal("/proc/PID/status of the daemon has no line VmRSS")
	return 0
}

// BenchmarkProcesses measures idle daemons that run as processes of their own.
//
// Each daemon gives one value of a figure, so Low and High show the spread over the daemons.
func BenchmarkProcesses(b *testing.B) {
	for _, count := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("processes=%d", count), func(b *testing.B) {
			processes := startProcesses(b, count)
			time.Sleep(5 * time.Second)
			const window = 10 * time.Second
			sent, spent := make([]float64, count), make([]float64, count)
			for i, p := range processes {
				sent[i], spent[i] = p.bytesSent(b), p.processorTime(b)
			}
			time.Sleep(window)
			memory := make([]float64, count)
			for i, p := range processes {
				sent[i] = (p.bytesSent(b) - sent[i]) / window.Seconds()
				spent[i] = (p.processorTime(b) - spent[i]) / window.Seconds()
				memory[i] = p.residentBytes(b)
			}
			recordFigure(b, "processes.sent", float64(count), "B/s", sent...)
			recordFigure(b, "processes.processor", float64(count), "s/s", spent...)
			recordFigure(b, "process.memory", float64(count), "B", memory...)
		})
	}
}
