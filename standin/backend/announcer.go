package backend

import (
	"context"
	"time"

	"siskinspar.example/daemon/operatorapi"
)

// Announcer keeps a backend server announced to the daemon beside it. Its exported fields are set before Start.
type Announcer struct {
	// Client calls the operator listener of the daemon with the backend token.
	Client *operatorapi.Client
	// Announcement is sent unchanged each time; its TimeToLive in seconds sets the period.
	Announcement operatorapi.Announcement

	done chan struct{}
}

// announceTimeout bounds one announcement or withdrawal.
const announceTimeout = 2 * time.Second

// Start announces the backend server in the background until the context ends, and then withdraws the announcement. It
// announces three times per time to live, and retries a failed announcement after 100 ms.
func (a *Announcer) Start(ctx context.Context) {
	a.done = make(chan struct{})
	go a.run(ctx)
}

// Done returns a channel that is closed after the attempt to withdraw the announcement; it is nil before Start.
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
