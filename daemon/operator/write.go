package operator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/versionlog"
)

func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var submission versionlog.Submission
	if !read(w, r, &submission) {
		return
	}
	s.commit(w, r, submission)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request, n versionlog.Submission) {
	result := s.Core.Node.Submit(r.Context(), n)
	body := operatorapi.SubmissionResult{Disposition: result.Disposition(), Version: result.Version()}
	if err := result.Err(); err != nil {
		body.Reason = err.Error()
		var conflict *versionlog.ConflictError
		if errors.As(err, &conflict) {
			body.Conflicts = conflict.Conflicts()
		}
	}
	if result.Disposition() == versionlog.DispositionAccepted {
		body.Warnings = findUnmatched(s.Core.Roster, s.Core.Configuration.State().Set(), n)
	}
	answer(w, statusOf(body), body)
}

func statusOf(r operatorapi.SubmissionResult) int {
	switch {
	case len(r.Conflicts) > 0:
		return http.StatusConflict
	case r.Disposition == versionlog.DispositionRefused:
		return http.StatusUnprocessableEntity
	case r.Disposition == versionlog.DispositionUnsettled:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// findUnmatched warns of changed selectors that match nothing that is known now.
func findUnmatched(members *roster.Roster, set declaration.Set, n versionlog.Submission) []string {
	serving := members.Serving()
	var warnings []string
	for _, p := range n.Proposals {
		e, ok := set.Find(p.Edit.Key)
		switch {
		case !ok:
		case e.Service() != nil && !matchesBackend(serving, e.Service().BackendServers):
			warnings = append(warnings, p.Edit.Key.String()+": backendServers matches no announced backend server: "+e.Service().BackendServers.String())
		case e.Intent() != nil && !matchesProxy(serving, e.Intent().Proxies):
			warnings = append(warnings, p.Edit.Key.String()+": proxies matches no daemon: "+e.Intent().Proxies.String())
		}
	}
	return warnings
}

func matchesBackend(serving []membership.Record, s declaration.Selector) bool {
	for _, r := range serving {
		for _, b := range r.BackendServers {
			if s.Matches(membership.MapLabels(b.Labels)) {
				return true
			}
		}
	}
	return false
}

func matchesProxy(serving []membership.Record, s declaration.Selector) bool {
	for _, r := range serving {
		if s.Matches(membership.MapLabels(r.Labels)) {
			return true
		}
	}
	return false
}

// rollback submits the content of an old version as a new one.
func (s *Server) rollback(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Rollback
	if !read(w, r, &q) {
		return
	}
	old, ok := s.load(w, r, q.Version)
	if !ok {
		return
	}
	current := s.Core.Configuration.State()
	n := versionlog.Submission{RequestID: q.RequestID, Operator: q.Operator, Message: "rollback to version " + strconv.FormatUint(uint64(q.Version), 10)}
	for _, e := range current.Set().Difference(old.Set(), true) {
		n.Proposals = append(n.Proposals, versionlog.Proposal{Edit: e, Base: current.Origin(e.Key).Version})
	}
	s.commit(w, r, n)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Drain
	if !read(w, r, &q) {
		return
	}
	s.Core.IsDraining.Store(q.IsDraining)
	s.Core.Backends.SetDraining(q.IsDraining)
	answer(w, http.StatusOK, q)
}

func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(w, http.StatusOK, s.Core.Guard.Entries())
}

func (s *Server) release(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Release
	if !read(w, r, &q) {
		return
	}
	s.Core.Guard.Release(q.Fingerprint)
	answer(w, http.StatusOK, q)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var a operatorapi.Announcement
	if !read(w, r, &a) {
		return
	}
	if err := s.Core.Backends.Announce(a, time.Now()); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) withdraw(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.Core.Backends.Remove(p.ByName("name"))
	answer(w, http.StatusOK, struct{}{})
}
