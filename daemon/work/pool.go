package work

import (
	"github.com/sourcegraph/conc"
)

// queueCapacity limits the jobs that wait for a worker; Try drops further ones.
const queueCapacity = 1024

// Pool is a fixed set of workers that run jobs from one bounded queue.
type Pool struct {
	workers conc.WaitGroup
	jobs    chan func()
	stopped chan struct{}
}

// NewPool returns a pool whose workers, count of them, have been started.
func NewPool(count int) *Pool {
	p := &Pool{jobs: make(chan func(), queueCapacity), stopped: make(chan struct{})}
	for range count {
		p.workers.Go(p.run)
	}
	return p
}

func (p *Pool) run() {
	for {
		select {
		case <-p.stopped:
			return
		case job := <-p.jobs:
			job()
		}
	}
}

// Try queues a job and returns true, or drops the job and returns false when the queue is full. Callers need no retry:
// the periodic comparisons between daemons (anti-entropy) repair what a dropped job left undone.
func (p *Pool) Try(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Stop waits until the workers have finished their current jobs; queued jobs are dropped. It must be called once.
func (p *Pool) Stop() {
	close(p.stopped)
	p.workers.Wait()
}
