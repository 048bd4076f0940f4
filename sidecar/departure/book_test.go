package departure_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/platform/rowstore"
	"siskinspar.example/sidecar/departure"
	"siskinspar.example/standin/platform"
	"siskinspar.example/store"
)

// patience bounds the wait for what must come.
const patience = 10 * time.Second

// daemon is a book with what it read.
type daemon struct {
	book *departure.Book
	stop context.CancelFunc
	mu   sync.Mutex
	read []string
}

// mesh starts daemons on one store.
type mesh struct {
	t       testing.TB
	store   *platform.Server
	address string
	log     io.Writer
}

func newMesh(t testing.TB) *mesh {
	t.Helper()
	s := &platform.Server{}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return &mesh{t: t, store: s, address: strings.TrimPrefix(h.URL, "http://"), log: io.Discard}
}

// start starts the book of a daemon with an address.
func (m *mesh) start(address string) *daemon {
	m.t.Helper()
	d := &daemon{}
	ctx, cancel := context.WithCancel(m.t.Context())
	d.stop = cancel
	d.book = &departure.Book{
		Daemon: address, Store: rowstore.NewUnpooledClient(m.address), Era: &store.Era{}, Logger: slog.New(slog.NewTextHandler(m.log, nil)),
		OnRead: func(x departure.Departure) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.read = append(d.read, fmt.Sprint(x.Server(), " ", x.Born()))
		},
	}
	d.book.Run(ctx)
	m.t.Cleanup(d.kill)
	return d
}

// kill ends the daemon.
func (d *daemon) kill() {
	d.stop()
	<-d.book.Done()
}

// known returns what the daemon has read.
func (d *daemon) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.read, ", ")
}

// await waits until a daemon has read what is expected.
func (m *mesh) await(d *daemon, expected string) {
	m.t.Helper()
	for deadline := time.Now().Add(patience); d.known() != expected; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			m.t.Fatalf("read %q, want %q", d.known(), expected)
		}
	}
}

func leave(server string, born int64) departure.Departure {
	return departure.New(server, born, time.Now())
}

func TestADepartureIsOnTheStoreOnceItIsRecorded(t *testing.T) {
	m := newMesh(t)
	first := m.start("127.0.0.1:1")
	first.book.Record(leave("a", 5))
	first.kill()
	// The address of the other daemon begins with that of the first.
	other := m.start("127.0.0.1:11")
	other.book.Record(leave("b", 7))
	other.kill()
	m.await(m.start("127.0.0.1:1"), "a 5")
	m.await(m.start("127.0.0.1:11"), "b 7")
}

func TestADepartureDuringAnOutageIsAcknowledgedAndWrittenLater(t *testing.T) {
	m := newMesh(t)
	for _, mode := range []platform.Mode{platform.ModeDown, platform.ModeSilent, platform.ModeReset, platform.ModeLostAnswer} {
		t.Run(string(mode), func(t *testing.T) {
			address := "127.0.0.1:1" + string(mode)
			d := m.start(address)
			d.book.Record(leave("a", 1))
			m.store.SetFault(platform.Fault{Mode: mode})
			began := time.Now()
			d.book.Record(leave("b", 2))
			d.book.Record(leave("b", 2))
			assert.Check(t, time.Since(began) < time.Second, "acknowledged after %v", time.Since(began))
			m.store.SetFault(platform.Fault{Mode: platform.ModeNone})
			// Written at last, the second departure is there for the next start.
			time.Sleep(3 * time.Second)
			d.kill()
			next := m.start(address)
			for deadline := time.Now().Add(patience); !strings.Contains(next.known(), "b 2"); time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "read %q", next.known())
			}
		})
	}
}

func TestADepartureIsWrittenAgainAfterTheStoreCameBackFromAnOlderCopy(t *testing.T) {
	m := newMesh(t)
	older := m.store.Copy()
	d := m.start("127.0.0.1:1")
	d.book.Record(leave("a", 5))
	m.store.Restore(older)
	d.book.Era.Record(2)
	time.Sleep(time.Second)
	d.kill()
	m.await(m.start("127.0.0.1:1"), "a 5")
}

func TestRowsOfAnotherWriterHideNoDeparture(t *testing.T) {
	m := newMesh(t)
	first := m.start("127.0.0.1:1")
	first.book.Record(leave("a", 5))
	first.kill()
	for n, odd := range []string{"", "{}", "[", `{"server":1}`, `{"server":"x","born":-1,"at":1}`, `{"server":"x","born":1e400,"at":1}`, `{"server":"b","born":2,"at":3}`, strings.Repeat("[", 20000)} {
		m.store.PutAsOperator(departure.Table, fmt.Sprint("127.0.0.1:1/", n), []byte(odd))
	}
	var log strings.Builder
	m.log = &log
	next := m.start("127.0.0.1:1")
	m.await(next, "a 5")
	next.kill()
	assert.Equal(t, strings.Count(log.String(), "row left out"), 8)
}

func TestRowsAreDeletedOnceTheyDontCount(t *testing.T) {
	m := newMesh(t)
	d := m.start("127.0.0.1:1")
	d.book.Record(leave("a", 5))
	d.kill()
	old := departure.New("o", 1, time.Now().Add(-time.Hour))
	m.store.PutAsOperator(departure.Table, departure.Key("127.0.0.1:1", old), departure.Encode(old))
	d = m.start("127.0.0.1:1")
	for deadline := time.Now().Add(patience); len(d.known()) < len("a 5, o 1"); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	d.book.Record(leave("b", 6))
	page, err := rowstore.NewUnpooledClient(m.address).List(t.Context(), departure.Table)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 2, "those of a and b")
}

func TestTheCallsOfTheStoreStayFew(t *testing.T) {
	for _, count := range []int{90, 195} {
		m := newMesh(t)
		daemons := make([]*daemon, count)
		for n := range daemons {
			daemons[n] = m.start(fmt.Sprintf("127.0.%d.1:1", n))
		}
		for m.store.Counts().Reads < int64(count) {
			time.Sleep(5 * time.Millisecond)
		}
		for n, d := range daemons[:count/2] {
			d.book.Record(leave("a", int64(n)))
			d.book.Record(leave("a", int64(n)))
		}
		assert.Equal(t, m.store.Counts(), platform.Counts{Reads: int64(count), Writes: int64(count / 2)}, "a read for each start and a write for each departure")
	}
}
