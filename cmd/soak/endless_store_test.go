package soak_test

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/cmd/soak"
	"siskinspar.example/standin/endless"
	"siskinspar.example/standin/loopback"
)

// endlessPages is the name of the answers of a store whose lists have always one more page.
const endlessPages = "pages"

// endlessOfStore are the answers of the store in the test.
var endlessOfStore = []string{endlessPages, "header", "interim-answers", "body-without-length", "chunks"}

// endlessStore answers each call as selected says: with one of endlessAnswers, or with endlessPages.
type endlessStore struct {
	listener net.Listener
	selected atomic.Pointer[endless.Answer]
	// calls counts the calls, and pages the pages of lists.
	calls, pages atomic.Int64
}

func startEndlessStore(t *testing.T) *endlessStore {
	t.Helper()
	s := &endlessStore{}
	var err error
	s.listener, err = endless.Serve(loopback.Address(), s.serve)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func (s *endlessStore) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.calls.Add(1)
		a := s.selected.Load()
		if a.Name == endlessPages {
			if _, err := io.WriteString(c, s.nextPage()); err != nil {
				return
			}
			continue
		}
		a.Write(c, 0)
		return
	}
}

// nextPage returns an answer with a full page of rows, which says that there are more.
func (s *endlessStore) nextPage() string {
	page := s.pages.Add(1)
	value := base64.StdEncoding.EncodeToString(make([]byte, 1500))
	rows := make([]string, 500)
	for i := range rows {
		rows[i] = fmt.Sprintf(`{"table":"t","part":"","key":"%09d-%03d","value":%q,"ver":1}`, page, i, value)
	}
	body := `{"rows":[` + strings.Join(rows, ",") + `],"hasMore":true,"ver":1}`
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// It guards against daemons that keep what a store in trouble sends without end, in one answer or in ever more pages.
func TestAStoreThatSendsWithoutEndDoesNotEndTheDaemon(t *testing.T) {
	t.Parallel()
	const megabytes = 184
	e := &endlessTrial{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentRequests}, Timeout: 4 * time.Second}}
	e.Soak = &soak.Soak{Instances: faultyDaemons, Binary: buildBinary(t), Directory: t.TempDir(), Out: t.Output()}
	defer e.Stop()
	assert.NilError(t, e.StartStore(endlessConfiguration))
	for range faultyDaemons {
		assert.NilError(t, e.StartInstance("counter", fmt.Sprintf("limits.memoryMb=%d\n", megabytes), startCalmServer(t), concurrentRequests))
	}
	assert.NilError(t, e.AwaitReady())
	time.Sleep(time.Second)
	faulty := startEndlessStore(t)
	for _, a := range append([]endless.Answer{{Name: endlessPages}}, endlessAnswers...) {
		if !slices.Contains(endlessOfStore, a.Name) {
			continue
		}
		faulty.selected.Store(&a)
		assert.NilError(t, e.ConnectToStore(faulty.listener.Addr().String()))
		// A daemon calls the store most at its start.
		e.KillAll()
		assert.NilError(t, e.StartDaemons())
		time.Sleep(1500 * time.Millisecond)
		assert.Check(t, faulty.calls.Swap(0) > 0, "%s: no call", a.Name)
		e.check(a.Name, megabytes)
	}
	assert.NilError(t, e.ConnectToStore(e.StoreAddress()))
	assert.NilError(t, e.AwaitReady())
	for index := range faultyDaemons {
		assert.Check(t, e.send(index, http.MethodPut, "/calm/", calmBody) == http.StatusOK, "daemon %d serves once the store is sound", index)
	}
}
