package work

import (
	"github.com/sourcegraph/conc"
)

// queueLength bounds the jobs that wait for a worker.
const queueLength = 1024

// Pool is a fixed set of workers that run jobs from one bounded queue.
type Pool struct {
	group conc.WaitGroup
	jobs  chan func()
	ended chan struct{}
}

// NewPool starts the given number of workers.
func NewPool(count int) *Pool {
	p := &Pool{jobs: make(chan func(), queueLength), ended: make(chan struct{})}
	for range count {
		p.group.Go(p.run)
	}
	return p
}

func (p *Pool) run() {
	for {
		select {
		case <-p.ended:
			return
		case job := <-p.jobs:
			job()
		}
	}
}

// Try queues a job, or drops it when the queue is full; anti-entropy makes up for what is dropped.
func (p *Pool) Try(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Stop ends the workers after their present jobs; waiting jobs are dropped.
func (p *Pool) Stop() {
	close(p.ended)
	p.group.Wait()
}
