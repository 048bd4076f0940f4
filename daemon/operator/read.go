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

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c := s.Core
	status := operatorapi.Status{
		Instance:       c.Settings.Instance.Name,
		DataCentre:     c.Settings.Instance.DataCentre,
		IsReady:        c.Node.IsServing(),
		IsDraining:     c.IsDraining.Load(),
		IsRelay:        c.Roster.IsRelay(),
		IsStoreUp:      c.Node.IsStoreUp(),
		BackendServers: c.Backends.Status(),
	}
	if n := c.Configuration.Snapshot(); n != nil {
		status.Version = n.Version()
		status.Digest = n.Digest()
		status.Routes = n.Len()
	}
	for _, r := range c.Roster.Serving() {
		status.Members = append(status.Members, operatorapi.MemberStatus{
			Instance: r.ID, DataCentre: r.DataCentre, Status: r.Status.String(), Operators: r.OperatorAddress, BackendServers: r.BackendServers,
		})
	}
	answer(w, http.StatusOK, status)
}

func (s *Server) declarations(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	state, ok := s.stateAt(w, r)
	if !ok {
		return
	}
	d := operatorapi.Declarations{Version: state.Version()}
	image := state.Image()
	for _, e := range image.Entries {
		d.Declared = append(d.Declared, operatorapi.Declared{Key: e.Edit.Key, Content: e.Edit.Content, Origin: e.Origin})
	}
	d.Deleted = image.Deleted
	answer(w, http.StatusOK, d)
}

// stateAt returns the state in force, or the one of the version that the query names.
func (s *Server) stateAt(w http.ResponseWriter, r *http.Request) (versionlog.State, bool) {
	text := r.URL.Query().Get("version")
	if text == "" {
		return s.Core.Configuration.State(), true
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "version must be a whole number")
		return versionlog.State{}, false
	}
	return s.load(w, r, declaration.Version(v))
}

func (s *Server) load(w http.ResponseWriter, r *http.Request, v declaration.Version) (versionlog.State, bool) {
	if current := s.Core.Configuration.Version(); v > current {
		refuse(w, http.StatusNotFound, "version "+strconv.FormatUint(uint64(v), 10)+" does not exist, the newest is "+strconv.FormatUint(uint64(current), 10))
		return versionlog.State{}, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Core.Settings.Platform.Timeout)
	defer cancel()
	state, err := s.Core.Log.Load(ctx, v)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "load version: "+err.Error())
		return versionlog.State{}, false
	}
	return state, true
}

// historyPage bounds the versions that one answer lists.
const historyPage = 64

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	newest := s.Core.Configuration.Version()
	after := declaration.Version(0)
	if newest > historyPage {
		after = newest - historyPage
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Core.Settings.Platform.Timeout)
	defer cancel()
	changes, err := s.Core.Log.Changes(ctx, after)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "read history: "+err.Error())
		return
	}
	entries := []operatorapi.HistoryEntry{}
	for _, c := range changes {
		entries = append(entries, historyOf(c)...)
	}
	answer(w, http.StatusOK, entries)
}

func historyOf(c versionlog.Change) []operatorapi.HistoryEntry {
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

func (s *Server) convergence(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	v, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "version must be a whole number")
		return
	}
	reply := s.Core.Node.Converge(declaration.Version(v))
	answer(w, http.StatusOK, operatorapi.Convergence{
		Version: declaration.Version(v), InForce: reply.InForce, Lagging: reply.Lagging, Unreachable: reply.Unreachable,
	})
}

const (
	// timelineTimeout bounds the wait for the events of one daemon.
	timelineTimeout = 2 * time.Second
	// timelineParallel bounds the daemons that are asked at once.
	timelineParallel = 32
	// timelineLimit is the number of events in an answer when the query names none.
	timelineLimit = 1000
)

func (s *Server) timeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	filter, err := readFilter(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	own := s.Core.Roster.Self()
	members := slices.DeleteFunc(s.Core.Roster.Serving(), func(m membership.Record) bool {
		return m.ID == own.ID || filter.Instance != "" && filter.Instance != string(m.ID)
	})
	ask := iter.Mapper[membership.Record, eventsOf]{MaxGoroutines: timelineParallel}
	lists := [][]timeline.Event{s.Core.Recorder.Events(filter)}
	var merged operatorapi.Timeline
	for _, e := range ask.Map(members, func(m *membership.Record) eventsOf { return s.askEvents(*m, filter) }) {
		if e.err != nil {
			merged.Unreachable = append(merged.Unreachable, e.id)
		}
		lists = append(lists, e.events)
	}
	merged.Events = timeline.Merge(filter, lists...)
	answer(w, http.StatusOK, merged)
}

type eventsOf struct {
	id     membership.ID
	events []timeline.Event
	err    error
}

func (s *Server) askEvents(m membership.Record, f timeline.Filter) eventsOf {
	ctx, cancel := context.WithTimeout(context.Background(), timelineTimeout)
	defer cancel()
	own := s.Core.Roster.Self()
	request := peer.TimelineRequest{Header: peer.Header{From: own.ID, Stamp: s.Core.Clock.Stamp()}, Filter: f}
	var reply peer.TimelineReply
	err := s.Core.Pool.Call(ctx, m.PeerAddress, peer.MethodTimeline, &request, &reply)
	return eventsOf{id: m.ID, events: reply.Events, err: err}
}

func readFilter(r *http.Request) (timeline.Filter, error) {
	q := r.URL.Query()
	f := timeline.Filter{Instance: q.Get("instance"), Limit: timelineLimit}
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
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return f, err
		}
		f.Since = at
	}
	return f, nil
}
