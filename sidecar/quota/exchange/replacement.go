package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/quota"
)

// sampleSize is the number of other daemons that are asked whether this one is cut off: if a third of all is, the chance that
// at most one of 32 is among them is below 0.0001.
const sampleSize = 32

// absence is a daemon that was found not to reply at a time, and the share of a quota that another one may lease in its place.
type absence struct {
	at    time.Time
	share float64
}

// replacementShare returns the share of a quota that this daemon may lease in place of the one that should coordinate. It
// reports false if that one replies, or if the entry daemon got a reply from it.
func (c *Coordinator) replacementShare(ctx context.Context, r message.QuotaRequest, first string) (share float64, ok bool) {
	if r.Suspected != first {
		return 0, false
	}
	if share, ok = c.absent(first); ok {
		return share, true
	}
	_, _, _ = c.checks.Do(first, func() (any, error) {
		c.check(ctx, first)
		return nil, nil
	})
	return c.absent(first)
}

// absent returns the share for a daemon that was lately found not to reply, or false.
func (c *Coordinator) absent(address string) (share float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.gone[address]
	return a.share, time.Since(a.at) < suspicionLifetime
}

// check asks a daemon, and a sample of the others, for a reply and records if the daemon gives none.
func (c *Coordinator) check(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sampled := make(chan float64, 1)
	go func() { sampled <- c.sample(limited, address) }()
	if _, err := c.Peers.TakeOverQuota(limited, address, message.QuotaTakeover{Address: c.Address}); err == nil {
		return
	}
	share := <-sampled
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[address] = absence{at: time.Now(), share: share}
}

// sample asks some other daemons for a reply and returns the share of a quota that this one may lease in place of another.
// Daemons that have ended refuse the connection at once and are not counted as silent.
func (c *Coordinator) sample(ctx context.Context, without string) float64 {
	living, _ := c.view.all()
	others := slices.DeleteFunc(slices.Clone(living), func(a string) bool { return a == without || a == c.Address })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(sampleSize, len(others))]
	var silent atomic.Int32
	var group sync.WaitGroup
	for _, a := range others {
		group.Go(func() {
			if _, err := c.Peers.TakeOverQuota(ctx, a, message.QuotaTakeover{Address: c.Address}); err != nil && ctx.Err() != nil {
				silent.Add(1)
			}
		})
	}
	group.Wait()
	return quota.ReplacementShare(int(silent.Load()), len(others))
}
