package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line an event, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// since returns a time as seconds since the start of the record.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add writes one line with the present time.
func (r *record) add(format string, arguments ...any) {
	r.addAt(time.Now(), format, arguments...)
}

// addAt writes one line with a given time.
func (r *record) addAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is only evidence; a failed write shows in it.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.since(at), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
