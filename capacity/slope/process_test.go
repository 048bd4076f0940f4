package slope_test

import (
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
	"siskinspar.example/standin/platform"
	"siskinspar.example/versionlog"
)

// BenchmarkWirePush measures the message that carries one change.
func BenchmarkWirePush(b *testing.B) {
	for _, services := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			set, err := slope.NewSet(services)
			assert.NilError(b, err)
			state := must[versionlog.State](b)(slope.NewState(set))
			change := must[versionlog.Change](b)(slope.NewChange(state, 7, time.Unix(1, 0)))
			keep(b, "push.bytes", float64(services), "B", encodedSize(b, peer.PushRequest{Changes: []versionlog.Change{change}, Scope: distribution.Mesh}))
		})
	}
}

const processSettings = `
[instance]
name = measured-%[2]s
data-centre = %[3]s
[callers]
listen = %[2]s:7001
[peers]
listen = %[2]s:7002
seeds = 127.0.99.1:7002
key = measured-key
[operators]
listen = %[2]s:7003
token = measured-token
backend-token = measured-token
[platform]
address = %[1]s
`

// process is a daemon process with an IP number of its own.
type process struct {
	command *exec.Cmd
	host    string
}

// startProcesses builds the binary and starts daemons in three data centres.
func startProcesses(b *testing.B, count int) []process {
	b.Helper()
	directory := b.TempDir()
	binary := filepath.Join(directory, "siskinspar")
	output, err := exec.Command("go", "build", "-o", binary, "siskinspar.example/cmd/siskinspar").CombinedOutput()
	assert.NilError(b, err, string(output))
	store := httptest.NewServer(&platform.Server{})
	b.Cleanup(store.Close)
	var processes []process
	for i := range count {
		p := process{host: fmt.Sprintf("127.0.99.%d", i+1)}
		path := filepath.Join(directory, p.host+".ini")
		assert.NilError(b, os.WriteFile(path, fmt.Appendf(nil, processSettings, strings.TrimPrefix(store.URL, "http://"), p.host, string(rune('a'+i%3))), 0o600))
		p.command = exec.Command(binary, "daemon", "--settings", path)
		assert.NilError(b, p.command.Start())
		b.Cleanup(func() {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		})
		processes = append(processes, p)
	}
	for _, p := range processes {
		p.await(b)
	}
	return processes
}

func (p process) await(b *testing.B) {
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
	b.Fatalf("%s is not ready", p.host)
}

// sent returns the control bytes that the daemon has sent.
func (p process) sent(b *testing.B) float64 {
	b.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+p.host+":7003/metrics", nil)
	assert.NilError(b, err)
	r.Header.Set("Authorization", "Bearer measured-token")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	defer response.Body.Close()
	var gauges map[string]struct {
		Value float64 `json:"value"`
	}
	assert.NilError(b, json.NewDecoder(response.Body).Decode(&gauges))
	return gauges["control.bytes.sent"].Value
}

// processor returns the seconds that the daemon has used, from the clock ticks that the kernel counts.
func (p process) processor(b *testing.B) float64 {
	b.Helper()
	const ticksPerSecond = 100
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(b, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(b, err)
	return (user + system) / ticksPerSecond
}

func (p process) memory(b *testing.B) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(b, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			assert.NilError(b, err)
			return kilobytes * 1024
		}
	}
	b.Fatal("no resident memory reported")
	return 0
}

// BenchmarkProcesses measures idle daemons as processes of their own; the spread is that over the processes.
func BenchmarkProcesses(b *testing.B) {
	for _, count := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("processes=%d", count), func(b *testing.B) {
			processes := startProcesses(b, count)
			time.Sleep(5 * time.Second)
			const span = 10 * time.Second
			sent, spent := make([]float64, count), make([]float64, count)
			for i, p := range processes {
				sent[i], spent[i] = p.sent(b), p.processor(b)
			}
			time.Sleep(span)
			memory := make([]float64, count)
			for i, p := range processes {
				sent[i] = (p.sent(b) - sent[i]) / span.Seconds()
				spent[i] = (p.processor(b) - spent[i]) / span.Seconds()
				memory[i] = p.memory(b)
			}
			keep(b, "processes.sent", float64(count), "B/s", sent...)
			keep(b, "processes.processor", float64(count), "s/s", spent...)
			keep(b, "process.memory", float64(count), "B", memory...)
		})
	}
}
