package capacity

// The size of the plan, from the users' letter.
const (
	Daemons         = 21000
	Services        = 2900
	DataCentres     = 33
	CallsPerSecond  = 990000
	ChangesPerDay   = 25000
	RestartsPerDay  = 5100
	FailuresPerDay  = 37
	secondsPerDay   = 86400
	RackInstances   = 40
	RoutesPerDaemon = 40
)

// The bounds of the letter and the brief.
const (
	BoundLatency   = 0.85e-3
	BoundConverge  = 4.0
	BoundProcessor = 0.033
	BoundMemory    = 256e6
	BoundBytes     = 11e3
	BoundWrites    = 400.0
	BoundReads     = 2000.0
)

// BusyFactor is how many times the mean rate of changes the busiest minute has; the letter names only the day.
const BusyFactor = 10.0

// Group is the number of daemons of one data centre.
const Group = Daemons / DataCentres

// changeRate is the mean number of changes per second.
func changeRate() float64 { return float64(ChangesPerDay) / secondsPerDay }

// eventRate is the mean number of membership records that change per second: a restart leaves, joins and announces.
func eventRate() float64 { return (3*RestartsPerDay + 2*FailuresPerDay) / float64(secondsPerDay) }
