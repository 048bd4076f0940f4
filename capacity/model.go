package capacity

// Section is a table of the page.
type Section struct {
	Title string
	Text  string
	Rows  []Row
}

// Work returns all sections of the page from the raw figures.
func Work(f Figures) []Section {
	c := &calculator{figures: f}
	return []Section{
		{Title: "Any daemon", Rows: c.daemon()},
		{Title: "Entry and owner", Rows: c.requests()},
		{Title: "Relay, accepting daemon, region link", Rows: c.relay()},
		{Title: "The platform's table and object store", Rows: c.platform()},
		{Title: "Bad seconds", Rows: c.badSeconds()},
	}
}

func (c *calculator) daemon() []Row {
	configuration := c.at("state.memory", Services)
	directory := c.at("directory.memory", Daemons)
	memory := c.row("memory of state", "state.memory(2,900 services) + directory.memory(21,000 daemons) + base of a process",
		"immutable set in 64 parts; full directory", configuration+directory+c.largest("process.memory"), "B", BoundMemory)
	perChange := c.changeTime()
	perEvent := c.at("merge.time", Daemons) + c.at("candidates.update.time", Daemons)
	quiet := c.largest("processes.processor") + c.at("tick.time", Daemons)
	ordinary := c.row("processor, ordinary second", "processes.processor + tick.time + change time x 0.29/s + (merge.time + candidates.update.time) x 0.18/s",
		"probes of one random member a second; incremental apply", quiet+perChange*changeRate()+perEvent*eventRate(), "s/s", BoundProcessor)
	perChange = c.changeTime()
	quiet = c.largest("processes.processor") + c.at("tick.time", Daemons)
	busy := c.row("processor, busiest minute", "processes.processor + tick.time + change time x 2.9/s",
		"incremental apply; submissions that wait share a version", quiet+perChange*changeRate()*BusyFactor, "s/s", BoundProcessor)
	sent := c.largest("idle.sent") + c.largest("converge.sent.rate10")*changeRate() + c.gossip()*eventRate()
	bytes := c.row("bytes sent, ordinary second", "idle.sent + converge.sent x 0.29/s + record.bytes x 45 transmissions x 0.18/s",
		"gossip bounded to 8 records a message; fan-out of 4", sent, "B/s", BoundBytes)
	sent = c.largest("idle.sent") + c.largest("converge.sent.rate10")*changeRate()*BusyFactor
	busyBytes := c.row("bytes sent, busiest minute", "idle.sent + converge.sent x 2.9/s", "push tree, one message a change and daemon", sent, "B/s", BoundBytes)
	connections := Row{What: "memory of connections in a group of 636", Formula: "at most 256 kept to peers", Mechanism: "least recently used is closed", Verdict: NotMeasured}
	return []Row{memory, connections, ordinary, busy, bytes, busyBytes}
}

// changeTime is the processor time of one change on a daemon that does not carry the intent.
func (c *calculator) changeTime() float64 {
	return c.at("apply.time", Services) + c.at("advance.other.time", Services) + c.largest("converge.processor.rate10")
}

// gossip is what passing on one changed record costs a daemon: three times the logarithm of the members.
func (c *calculator) gossip() float64 {
	const transmissions = 45
	return c.slope("record.bytes") * transmissions
}

func (c *calculator) requests() []Row {
	perSecond := float64(CallsPerSecond) / Daemons
	call := c.slope("calls.processor")
	processor := c.row("processor of calls, entry and owner together", "slope of calls.processor x 990,000 / 21,000 calls/s",
		"net/http on both hops", call*perSecond, "s/s", 0)
	p50 := c.row("added latency, p50", "highest latency.added.p50 at 100, 300 and 900 calls/s; the plan has 47", "two hops over kept connections", c.highest("latency.added.p50"), "s", BoundLatency)
	p99 := c.row("added latency, p99", "highest latency.added.p99 at 100, 300 and 900 calls/s; the plan has 47", "two hops over kept connections", c.highest("latency.added.p99"), "s", BoundLatency)
	first := c.row("first candidates of all routes of a joining daemon", "candidates.first.time(21,000) x 40 routes",
		"built once a route, then changed by record", c.at("candidates.first.time", Daemons)*RoutesPerDaemon, "s", BoundConverge)
	limits := Row{What: "daemon as owner of a limit", Formula: "no messages: shares follow from the directory", Mechanism: "limits divided over the daemons beside the backend servers", Verdict: NotMeasured}
	return []Row{processor, p50, p99, first, limits}
}

func (c *calculator) relay() []Row {
	converge := c.row("last daemon in force, 144 daemons", "converge.last at 1 change/s", "push tree by intervals, pull on a newer version in a probe", c.largest("converge.last.rate1"), "s", BoundConverge)
	hops := 4.0
	whole := c.row("last daemon in force, 21,000 daemons", "converge.last x (5 levels in a group of 636 + 3 between data centres) / 4 levels at 144, without losses; distance between regions not included",
		"depth grows with the logarithm of the group", c.largest("converge.last.rate1")*8/hops, "s", BoundConverge)
	push := c.largest("push.bytes")
	relay := c.row("relay: bytes for changes, ordinary second", "push.bytes x 4 members x 0.29/s", "fan-out of 4", push*4*changeRate(), "B/s", BoundBytes)
	push = c.largest("push.bytes")
	accepting := c.row("accepting daemon: bytes, ordinary second", "push.bytes x (4 members + 4 data centres) x 0.29/s, all changes through one daemon",
		"a tree over members and one over data centres", push*8*changeRate(), "B/s", BoundBytes)
	push = c.largest("push.bytes")
	busy := c.row("accepting daemon: bytes, busiest minute", "push.bytes x 8 x 2.9/s, all changes through one daemon, besides its ordinary bytes",
		"the same trees; submissions that wait share a version", push*8*changeRate()*BusyFactor, "B/s", BoundBytes)
	push = c.largest("push.bytes")
	link := c.row("region link: bytes for changes", "push.bytes x 3 data centres x 0.29/s", "at most one push for each data centre beyond the link", push*3*changeRate(), "B/s", 0)
	seed := c.row("seed: first answer to a joining daemon", "image.bytes(2,900), compressed", "image from a peer before the store", c.at("image.bytes", Services), "B", 0)
	return []Row{converge, whole, relay, accepting, busy, link, seed}
}

func (c *calculator) platform() []Row {
	const relays = 2.0
	head := c.row("reads of the head", "33 data centres x 2 relays x 1/s; measured: idle.reads of 3 data centres, the same at 12, 48 and 144 daemons",
		"relays by rendezvous hashing", c.largest("idle.reads")/3*DataCentres, "reads/s", BoundReads)
	commits := c.row("writes of versions", "(head + change + request) x 2.9/s in the busiest minute", "one transaction a version", 3*changeRate()*BusyFactor, "writes/s", BoundWrites)
	seeds := c.row("writes of seeds", "33 x 2 / 30 s", "only relays write", DataCentres*relays/30, "writes/s", BoundWrites)
	free := BoundWrites - 3*changeRate()*BusyFactor - DataCentres*relays/30
	claims := c.row("unrepeatable requests that the writes carry", "(400 - versions - seeds) / slope of unrepeatable.writes; past that the platform throttles and the request is refused, not-run",
		"one claim, one answer", free/c.slope("unrepeatable.writes"), "requests/s", 0)
	joins := c.row("reads of restarts", "herd.reads x 5,100 / day", "head, seeds; content from peers", c.largest("herd.reads")*RestartsPerDay/secondsPerDay, "reads/s", BoundReads)
	return []Row{head, commits, seeds, claims, joins}
}

func (c *calculator) badSeconds() []Row {
	const pace = 6 << 10
	image := c.at("image.bytes", Services)
	restart := c.row("restart: time to a configuration at 11 kB/s", "image.bytes(2,900) / 11 kB/s, when no change is near enough for a delta", "compressed image from a peer", image/BoundBytes, "s", 0)
	directory := c.row("restart: time to the whole directory", "slope of herd.sent x 21,000 / 6 kB/s; its own endpoints come first", "paced comparison of buckets", c.slope("herd.sent")*Daemons/pace, "s", 0)
	herd := c.row("all daemons restarted at once: reads at the store", "herd.reads x 21,000 / 2,000 reads/s", "full-jitter backoff up to 5 s; the platform throttles", c.largest("herd.reads")*Daemons/BoundReads, "s", 0)
	rack := c.row("rack of 40 lost: time until its records have gone round a group", "40 records x 2 changes / (16 records/s received by a daemon) + 5 s suspicion", "gossip of 8 records a message", RackInstances*2/16.0+5, "s", 0)
	centre := c.row("data centre lost: time until one record tells it", "2 rounds x 32 data centres / 2 relays x 1 s", "one reach record for the data centre, piggybacked on probes", 2*(DataCentres-1)/2, "s", 0)
	parted := c.row("regions parted: head by the store", "reads of the head go on; versions come from the store within a poll", "each group polls by itself", 1.5, "s", BoundConverge)
	outage := c.row("store outage: daemons that stay up", "nothing to rejoin; relays go on polling, refusals of claims are not-run", "floor from peers for restarts", c.largest("idle.reads")/3*DataCentres, "reads/s", BoundReads)
	return []Row{restart, directory, herd, rack, centre, parted, outage}
}
