package capacity

// The planned size of the mesh, from the users' requirements.
const (
	// Daemons is the number of daemons in the mesh.
	Daemons = 21000
	// Services is the number of declared services.
	Services = 2900
	// DataCentres is the number of data centres, in 11 regions.
	DataCentres = 33
	// CallsPerSecond is the number of calls per second in the whole mesh.
	CallsPerSecond = 990000
	// ChangesPerDay is the number of configuration changes per day.
	ChangesPerDay = 25000
	// RestartsPerDay is the number of restarts of daemons per day.
	RestartsPerDay = 5100
	// FailuresPerDay is the number of daemons that fail per day.
	FailuresPerDay = 37
	secondsPerDay  = 86400
	// RackInstances is the number of instances in a rack, which can fail together.
	RackInstances = 40
	// RoutesPerDaemon is the number of routes that one daemon has.
	RoutesPerDaemon = 40
)

// The bounds from the users' requirements and the project brief.
const (
	// BoundLatency is the latency in seconds that the mesh may add to a call.
	BoundLatency = 0.85e-3
	// BoundConverge is the time in seconds within which a change must be in force on the last daemon.
	BoundConverge = 4.0
	// BoundProcessor is the processor time of a daemon in core seconds per second.
	BoundProcessor = 0.033
	// BoundMemory is the memory of a daemon in bytes.
	BoundMemory = 256e6
	// BoundBytes is the control traffic that a daemon may send, in bytes per second.
	BoundBytes = 11e3
	// BoundWrites is the number of writes per second at the platform; the requirements say "several hundred".
	BoundWrites = 400.0
	// BoundReads is the number of reads per second at the platform.
	BoundReads = 2000.0
)

// BusiestMinuteFactor is the rate of changes in the busiest minute over the mean rate.
//
// It is an assumption: the requirements state only the number of changes per day.
const BusiestMinuteFactor = 10.0

// DaemonsPerDataCentre is the number of daemons in one data centre, rounded down.
const DaemonsPerDataCentre = Daemons / DataCentres

// changeRate is the mean number of configuration changes per second.
func changeRate() float64 { return float64(ChangesPerDay) / secondsPerDay }

// eventRate is the mean number of changed membership records per second.
//
// A restart changes three (the daemon leaves, joins and announces), a failure two.
func eventRate() float64 { return (3*RestartsPerDay + 2*FailuresPerDay) / float64(secondsPerDay) }
