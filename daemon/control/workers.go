package control

import "github.com/sourcegraph/conc"

// queueLength bounds the jobs that wait for a worker.
const queueLength = 1024

// workers is a fixed pool that runs jobs from one bounded queue.
type workers struct {
	group conc.WaitGroup
	jobs  chan func()
	ended chan struct{}
}

func newWorkers(count int) *workers {
	w := &workers{jobs: make(chan func(), queueLength), ended: make(chan struct{})}
	for range count {
		w.group.Go(w.run)
	}
	return w
}

func (w *workers) run() {
	for {
		select {
		case <-w.ended:
			return
		case job := <-w.jobs:
			job()
		}
	}
}

// try queues a job, or drops it when the queue is full; anti-entropy makes up for what is dropped.
func (w *workers) try(job func()) bool {
	select {
	case w.jobs <- job:
		return true
	default:
		return false
	}
}

// stop ends the workers after their present jobs; waiting jobs are dropped.
func (w *workers) stop() {
	close(w.ended)
	w.group.Wait()
}
