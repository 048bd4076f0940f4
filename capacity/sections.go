package capacity

// Section holds one table of the page with its heading.
type Section struct {
	Title string
	Text  string
	Rows  []Row
}

// Sections calculates all tables of the page from the figures.
func Sections(f Figures) []Section {
	c := &calculator{figures: f}
	return []Section{
		{Title: "Any daemon", Rows: c.daemon()},
		{Title: "Entry and owner", Rows: c.requests()},
		{Title: "Relay, accepting daemon, region link", Rows: c.relay()},
		{Title: "The platform's table and object store", Rows: c.platform()},
		{Title: "Bad seconds", Rows: c.massFailures()},
	}
}

// daemon returns the costs of every daemon.
func (c *calculator) daemon() []Row {
	configuration := c.valueAt("state.memory", Services)
	directory := c.valueAt("directory.memory", Daemons)
	memory := c.newRow("memory of state", "state.memory(2,900 services) + directory.memory(21,000 daemons) + base of a process",
		"immutable set in 64 parts; full directory", configuration+directory+c.valueAtLargest("process.memory"), "B", BoundMemory)
	changeTime := c.changeProcessorTime()
	eventTime := c.valueAt("merge.time", Daemons) + c.valueAt("candidates.update.time", Daemons)
	idle := c.valueAtLargest("processes.processor") + c.valueAt("tick.time", Daemons)
	ordinary := c.newRow("processor, ordinary second", "processes.processor + tick.time + change time x 0.29/s + (merge.time + candidates.update.time) x 0.18/s",
		"probes of one random member a second; incremental apply", idle+changeTime*changeRate()+eventTime*eventRate(), "s/s", BoundProcessor)
	changeTime = c.changeProcessorTime()
	idle = c.valueAtLargest("processes.processor") + c.valueAt("tick.time", Daemons)
	busy := c.newRow("processor, busiest minute", "processes.processor + tick.time + change time x 2.9/s",
		"incremental apply; submissions that wait share a version", idle+changeTime*changeRate()*BusiestMinuteFactor, "s/s", BoundProcessor)
	sent := c.valueAtLargest("idle.sent") + c.valueAtLargest("converge.sent.rate10")*changeRate() + c.gossipBytes()*eventRate()
	bytes := c.newRow("bytes sent, ordinary second", "idle.sent + converge.sent x 0.29/s + record.bytes x 45 transmissions x 0.18/s",
		"gossip bounded to 8 records a message; fan-out of 4", sent, "B/s", BoundBytes)
	sent = c.valueAtLargest("idle.sent") + c.valueAtLargest("converge.sent.rate10")*changeRate()*BusiestMinuteFactor
	busyBytes := c.newRow("bytes sent, busiest minute", "idle.sent + converge.sent x 2.9/s", "push tree, one message a change and daemon", sent, "B/s", BoundBytes)
	connections := Row{What: "memory of connections in a group of 636", Formula: "at most 256 kept to peers", Mechanism: "least recently used is closed", Verdict: NotMeasured}
	return []Row{memory, connections, ordinary, busy, bytes, busyBytes}
}

// changeProcessorTime returns the processor time in seconds of one change on a daemon that doesn't carry the changed
// intent.
func (c *calculator) changeProcessorTime() float64 {
	return c.valueAt("apply.time", Services) + c.valueAt("advance.other.time", Services) + c.valueAtLargest("converge.processor.rate10")
}

// gossipBytes returns the bytes that a daemon sends to gossip one changed record.
//
// A record is transmitted three times the bit length of the number of members, which is 15 for 21,000.
func (c *calculator) gossipBytes() float64 {
	const transmissions = 45
	return c.slope("record.bytes") * transmissions
}

// requests returns the costs of calls on the entry and the owner daemon.
func (c *calculator) requests() []Row {
	callRate := float64(CallsPerSecond) / Daemons
	call := c.slope("calls.processor")
	processor := c.newRow("processor of calls, entry and owner together", "slope of calls.processor x 990,000 / 21,000 calls/s",
		"net/http on both hops", call*callRate, "s/s", 0)
	p50 := c.newRow("added latency, p50", "highest latency.added.p50 at 100, 300 and 900 calls/s; the plan has 47", "two hops over kept connections", c.maximum("latency.added.p50"), "s", BoundLatency)
	p99 := c.newRow("added latency, p99", "highest latency.added.p99 at 100, 300 and 900 calls/s; the plan has 47", "two hops over kept connections", c.maximum("latency.added.p99"), "s", BoundLatency)
	first := c.newRow("first candidates of all routes of a joining daemon", "candidates.first.time(21,000) x 40 routes",
		"built once a route, then changed by record", c.valueAt("candidates.first.time", Daemons)*RoutesPerDaemon, "s", BoundConverge)
	limits := Row{What: "daemon as owner of a limit", Formula: "no messages: shares follow from the directory", Mechanism: "limits divided over the daemons beside the backend servers", Verdict: NotMeasured}
	return []Row{processor, p50, p99, first, limits}
}

// relay returns the cost and the time of passing changes on between daemons and data centres.
func (c *calculator) relay() []Row {
	converge := c.newRow("last daemon in force, 144 daemons", "converge.last at 1 change/s", "push tree by intervals, pull on a newer version in a probe", c.valueAtLargest("converge.last.rate1"), "s", BoundConverge)
	levels := 4.0 // depth of the push tree with 144 daemons
	// 8 is the depth of the push tree with 21,000 daemons: 5 levels in a group of 636 and 3 between data centres.
	fullMesh := c.newRow("last daemon in force, 21,000 daemons", "converge.last x (5 levels in a group of 636 + 3 between data centres) / 4 levels at 144, without losses; distance between regions not included",
		"depth grows with the logarithm of the group", c.valueAtLargest("converge.last.rate1")*8/levels, "s", BoundConverge)
	push := c.valueAtLargest("push.bytes")
	// 4 is the number of members to which a relay pushes each change; see distribution.FanOut.
	relay := c.newRow("relay: bytes for changes, ordinary second", "push.bytes x 4 members x 0.29/s", "fan-out of 4", push*4*changeRate(), "B/s", BoundBytes)
	push = c.valueAtLargest("push.bytes")
	// The accepting daemon sends 8 pushes for each change: to 4 members and to 4 data centres.
	accepting := c.newRow("accepting daemon: bytes, ordinary second", "push.bytes x (4 members + 4 data centres) x 0.29/s, all changes through one daemon",
		"a tree over members and one over data centres", push*8*changeRate(), "B/s", BoundBytes)
	push = c.valueAtLargest("push.bytes")
	// 8 pushes for each change, as above.
	busy := c.newRow("accepting daemon: bytes, busiest minute", "push.bytes x 8 x 2.9/s, all changes through one daemon, besides its ordinary bytes",
		"the same trees; submissions that wait share a version", push*8*changeRate()*BusiestMinuteFactor, "B/s", BoundBytes)
	push = c.valueAtLargest("push.bytes")
	// 3 is the number of data centres beyond the link.
	link := c.newRow("region link: bytes for changes", "push.bytes x 3 data centres x 0.29/s", "at most one push for each data centre beyond the link", push*3*changeRate(), "B/s", 0)
	seed := c.newRow("seed: first answer to a joining daemon", "image.bytes(2,900), compressed", "image from a peer before the store", c.valueAt("image.bytes", Services), "B", 0)
	return []Row{converge, fullMesh, relay, accepting, busy, link, seed}
}

// platform returns the load on the platform's table and object store.
func (c *calculator) platform() []Row {
	const relays = 2.0 // in each data centre
	// idle.reads is the rate of 3 data centres together.
	head := c.newRow("reads of the head", "33 data centres x 2 relays x 1/s; measured: idle.reads of 3 data centres, the same at 12, 48 and 144 daemons",
		"relays by rendezvous hashing", c.valueAtLargest("idle.reads")/3*DataCentres, "reads/s", BoundReads)
	// A version writes 3 rows: the head, the change and the request.
	commits := c.newRow("writes of versions", "(head + change + request) x 2.9/s in the busiest minute", "one transaction a version", 3*changeRate()*BusiestMinuteFactor, "writes/s", BoundWrites)
	// Each relay writes a seed every 30 s.
	seeds := c.newRow("writes of seeds", "33 x 2 / 30 s", "only relays write", DataCentres*relays/30, "writes/s", BoundWrites)
	// What remains for claims: the bound without the writes of versions and of seeds, calculated as above.
	freeWrites := BoundWrites - 3*changeRate()*BusiestMinuteFactor - DataCentres*relays/30
	claims := c.newRow("unrepeatable requests that the writes carry", "(400 - versions - seeds) / slope of unrepeatable.writes; past that the platform throttles and the request is refused, not-run",
		"one claim, one answer", freeWrites/c.slope("unrepeatable.writes"), "requests/s", 0)
	joins := c.newRow("reads of restarts", "herd.reads x 5,100 / day", "head, seeds; content from peers", c.valueAtLargest("herd.reads")*RestartsPerDay/secondsPerDay, "reads/s", BoundReads)
	return []Row{head, commits, seeds, claims, joins}
}

// massFailures returns the cost and the duration of mass restarts, partitions and outages.
func (c *calculator) massFailures() []Row {
	const bytesPerSecond = 6 << 10 // pace of the comparison of directories
	image := c.valueAt("image.bytes", Services)
	restart := c.newRow("restart: time to a configuration at 11 kB/s", "image.bytes(2,900) / 11 kB/s, when no change is near enough for a delta", "compressed image from a peer", image/BoundBytes, "s", 0)
	directory := c.newRow("restart: time to the whole directory", "slope of herd.sent x 21,000 / 6 kB/s; its own endpoints come first", "paced comparison of buckets", c.slope("herd.sent")*Daemons/bytesPerSecond, "s", 0)
	herd := c.newRow("all daemons restarted at once: reads at the store", "herd.reads x 21,000 / 2,000 reads/s", "full-jitter backoff up to 5 s; the platform throttles", c.valueAtLargest("herd.reads")*Daemons/BoundReads, "s", 0)
	// A failure changes the record of an instance 2 times; a daemon receives 16 records a second; 5 s is the time for which
	// a member is suspected before it is declared dead.
	rack := c.newRow("rack of 40 lost: time until its records have gone round a group", "40 records x 2 changes / (16 records/s received by a daemon) + 5 s suspicion", "gossip of 8 records a message", RackInstances*2/16.0+5, "s", 0)
	// 2 rounds of probes of every other data centre, divided over the 2 relays, with one probe a second each.
	centre := c.newRow("data centre lost: time until one record tells it", "2 rounds x 32 data centres / 2 relays x 1 s", "one reach record for the data centre, piggybacked on probes", 2*(DataCentres-1)/2, "s", 0)
	// 1.5 s is the longest time between two polls of the head by a relay: one and a half times distribution.Timing.Poll.
	partition := c.newRow("regions parted: head by the store", "reads of the head go on; versions come from the store within a poll", "each group polls by itself", 1.5, "s", BoundConverge)
	// idle.reads is the rate of 3 data centres together.
	outage := c.newRow("store outage: daemons that stay up", "nothing to rejoin; relays go on polling, refusals of claims are not-run", "floor from peers for restarts", c.valueAtLargest("idle.reads")/3*DataCentres, "reads/s", BoundReads)
	return []Row{restart, directory, herd, rack, centre, partition, outage}
}
