package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/iter"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// status answers with the state of this daemon, its backend servers and the serving members that it knows.
func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c := s.Core
	status := operatorapi.Status{
		Instance:       c.Settings.Instance.Name,
		DataCentre:     c.Settings.Instance.DataCentre,
		IsReady:        c.ControlNode.IsServing(),
		IsDraining:     c.IsDraining.Load(),
		IsRelay:        c.Roster.IsRelay(),
		IsStoreUp:      c.ControlNode.IsStoreUp(),
		BackendServers: c.Backends.Status(),
	}
	if snapshot := c.Configuration.Snapshot(); snapshot != nil {
		status.Version = snapshot.Version()
		status.Digest = snapshot.Digest()
		status.Routes = snapshot.Len()
	}
	for _, r := range c.Roster.Serving() {
		status.Members = append(status.Members, operatorapi.MemberStatus{
			Instance: r.ID, DataCentre: r.DataCentre, Status: r.Status.String(), Operators: r.OperatorAddress, BackendServers: r.BackendServers,
		})
	}
	writeJSON(w, http.StatusOK, status)
}

// declarations answers with the declarations of the requested version and the origins of the deleted ones.
func (s *Server) declarations(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	state, ok := s.requestedState(w, r)
	if !ok {
		return
	}
	d := operatorapi.Declarations{Version: state.Version()}
	image := state.Image()
	for _, e := range image.Entries {
		d.Declared = append(d.Declared, operatorapi.Declared{Key: e.Edit.Key, Content: e.Edit.Content, Origin: e.Origin})
	}
	d.Deleted = image.Deleted
	writeJSON(w, http.StatusOK, d)
}

// requestedState returns the state of the version that the query names, or the state in force when it names none.
//
// It returns false after it has written an error to the response.
func (s *Server) requestedState(w http.ResponseWriter, r *http.Request) (versionlog.State, bool) {
	text := r.URL.Query().Get("version")
	if text == "" {
		return s.Core.Configuration.State(), true
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "version must be a whole number")
		return versionlog.State{}, false
	}
	return s.loadVersion(w, r, declaration.Version(v))
}

// loadVersion reads the state of a version from the store; it returns false after it has written an error to the
// response.
func (s *Server) loadVersion(w http.ResponseWriter, r *http.Request, v declaration.Version) (versionlog.State, bool) {
	if current := s.Core.Configuration.Version(); v > current {
		writeProblem(w, http.StatusNotFound, "version "+strconv.FormatUint(uint64(v), 10)+" does not exist, the newest is "+strconv.FormatUint(uint64(current), 10))
		return versionlog.State{}, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Core.Settings.Platform.Timeout)
	defer cancel()
	state, err := s.Core.VersionLog.Load(ctx, v)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "load version: "+err.Error())
		return versionlog.State{}, false
	}
	return state, true
}

// maximumHistoryChanges bounds the versions that one response lists.
const maximumHistoryChanges = 64

// history answers with the submissions accepted in the newest maximumHistoryChanges versions.
func (s *Server) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	newest := s.Core.Configuration.Version()
	after := declaration.Version(0)
	if newest > maximumHistoryChanges {
		after = newest - maximumHistoryChanges
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Core.Settings.Platform.Timeout)
	defer cancel()
	changes, err := s.Core.VersionLog.Changes(ctx, after)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "read history: "+err.Error())
		return
	}
	entries := []operatorapi.HistoryEntry{}
	for _, c := range changes {
		entries = append(entries, newHistoryEntries(c)...)
	}
	writeJSON(w, http.StatusOK, entries)
}

// newHistoryEntries returns one entry for each submission that the change accepted.
func newHistoryEntries(c versionlog.Change) []operatorapi.HistoryEntry {
	entries := make([]operatorapi.HistoryEntry, 0, len(c.Accepted))
	for _, a := range c.Accepted {
		e := operatorapi.HistoryEntry{Version: c.Version, Time: c.Time, Operator: a.Operator, Message: a.Message, RequestID: a.RequestID, Digest: c.Digest}
		for _, edit := range a.Edits {
			e.Changed = append(e.Changed, edit.Key)
		}
		entries = append(entries, e)
	}
	return entries
}

// convergence answers with the number of daemons of all data centres that have the requested version in force.
func (s *Server) convergence(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	v, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "version must be a whole number")
		return
	}
	reply := s.Core.ControlNode.CountInForce(declaration.Version(v))
	writeJSON(w, http.StatusOK, operatorapi.Convergence{
		Version: declaration.Version(v), InForce: reply.InForce, Lagging: reply.Lagging, Unreachable: reply.Unreachable,
	})
}

const (
	// timelineTimeout bounds the call to one daemon for its events.
	timelineTimeout = 2 * time.Second
	// maximumTimelineCalls bounds the daemons that are called at once.
	maximumTimelineCalls = 32
	// defaultTimelineLimit bounds the events in a response when the query gives no limit.
	defaultTimelineLimit = 1000
)

// timeline merges the events of this daemon with those of all serving members that match the filter.
func (s *Server) timeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	filter, err := readFilter(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	own := s.Core.Roster.Self()
	members := slices.DeleteFunc(s.Core.Roster.Serving(), func(m membership.Record) bool {
		return m.ID == own.ID || filter.Instance != "" && filter.Instance != string(m.ID)
	})
	fetch := iter.Mapper[membership.Record, instanceEvents]{MaxGoroutines: maximumTimelineCalls}
	lists := [][]timeline.Event{s.Core.Recorder.Events(filter)}
	var merged operatorapi.Timeline
	for _, e := range fetch.Map(members, func(m *membership.Record) instanceEvents { return s.fetchEvents(*m, filter) }) {
		if e.err != nil {
			merged.Unreachable = append(merged.Unreachable, e.id)
		}
		lists = append(lists, e.events)
	}
	merged.Events = timeline.Merge(filter, lists...)
	writeJSON(w, http.StatusOK, merged)
}

// instanceEvents holds the events of one daemon, or the error of the call to it.
type instanceEvents struct {
	id     membership.ID
	events []timeline.Event
	err    error
}

// fetchEvents calls a member for its events that match the filter.
func (s *Server) fetchEvents(m membership.Record, f timeline.Filter) instanceEvents {
	ctx, cancel := context.WithTimeout(context.Background(), timelineTimeout)
	defer cancel()
	own := s.Core.Roster.Self()
	request := peer.TimelineRequest{Header: peer.Header{From: own.ID, Stamp: s.Core.Clock.Stamp()}, Filter: f}
	var reply peer.TimelineReply
	err := s.Core.Pool.Call(ctx, m.PeerAddress, peer.MethodTimeline, &request, &reply)
	return instanceEvents{id: m.ID, events: reply.Events, err: err}
}

// readFilter parses the query parameters instance, kind, limit and since; since is a time in the format of RFC 3339.
func readFilter(r *http.Request) (timeline.Filter, error) {
	q := r.URL.Query()
	f := timeline.Filter{Instance: q.Get("instance"), Limit: defaultTimelineLimit}
	for _, kind := range q["kind"] {
		f.Kinds = append(f.Kinds, timeline.Kind(kind))
	}
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			return f, strconv.ErrRange
		}
		f.Limit = n
	}
	if text := q.Get("since"); text != "" {
		since, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return f, err
		}
		f.Since = since
	}
	return f, nil
}
