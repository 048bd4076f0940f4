package backend

import (
	"context"
	"time"

	"siskinspar.example/daemon/operatorapi"
)

// Announcer repeats the announcement of a backend server at the daemon beside it; its exported fields are set before Run.
type Announcer struct {
	Client       *operatorapi.Client
	Announcement operatorapi.Announcement

	done chan struct{}
}

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// Start announces three times within each time to live until the context ends, and then withdraws.
func (a *Announcer) Start(ctx context.Context) {
	a.done = make(chan struct{})
	go a.run(ctx)
}

// Done returns a channel that is closed once the announcement is withdrawn.
func (a *Announcer) Done() <-chan struct{} { return a.done }

func (a *Announcer) run(ctx context.Context) {
	defer close(a.done)
	period := time.Duration(max(1, a.Announcement.TimeToLive)) * time.Second / 3
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	const retryPeriod = 100 * time.Millisecond
	for {
		wait := ticker.C
		if a.announce(ctx) != nil {
			wait = time.After(retryPeriod)
		}
		select {
		case <-ctx.Done():
			a.withdraw()
			return
		case <-wait:
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return a.Client.Announce(limited, a.Announcement)
}

func (a *Announcer) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_ = a.Client.Withdraw(ctx, a.Announcement.Name)
}
