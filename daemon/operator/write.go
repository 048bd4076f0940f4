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

// submit submits the change of the declarations in the body of the request.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var submission versionlog.Submission
	if !readBody(w, r, &submission) {
		return
	}
	s.commit(w, r, submission)
}

// commit submits a change of the declarations and answers with its result.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, submission versionlog.Submission) {
	result := s.Core.ControlNode.Submit(r.Context(), submission)
	body := operatorapi.SubmissionResult{Disposition: result.Disposition(), Version: result.Version()}
	if err := result.Err(); err != nil {
		body.Reason = err.Error()
		var conflict *versionlog.ConflictError
		if errors.As(err, &conflict) {
			body.Conflicts = conflict.Conflicts()
		}
	}
	if result.Disposition() == versionlog.DispositionAccepted {
		body.Warnings = findUnmatched(s.Core.Roster, s.Core.Configuration.State().Set(), submission)
	}
	writeJSON(w, httpStatusOf(body), body)
}

// httpStatusOf returns the HTTP status of the response to a submission.
func httpStatusOf(r operatorapi.SubmissionResult) int {
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

// findUnmatched returns a warning for each selector in the submitted declarations that matches no backend server or
// daemon at present.
func findUnmatched(members *roster.Roster, set declaration.Set, submission versionlog.Submission) []string {
	serving := members.Serving()
	var warnings []string
	for _, p := range submission.Proposals {
		e, ok := set.Find(p.Edit.Key)
		switch {
		case !ok:
		case e.Service() != nil && !matchesAnyBackend(serving, e.Service().BackendServers):
			warnings = append(warnings, p.Edit.Key.String()+": backendServers matches no announced backend server: "+e.Service().BackendServers.String())
		case e.Intent() != nil && !matchesAnyProxy(serving, e.Intent().Proxies):
			warnings = append(warnings, p.Edit.Key.String()+": proxies matches no daemon: "+e.Intent().Proxies.String())
		}
	}
	return warnings
}

func matchesAnyBackend(serving []membership.Record, s declaration.Selector) bool {
	for _, r := range serving {
		for _, b := range r.BackendServers {
			if s.Matches(membership.MapLabels(b.Labels)) {
				return true
			}
		}
	}
	return false
}

func matchesAnyProxy(serving []membership.Record, s declaration.Selector) bool {
	for _, r := range serving {
		if s.Matches(membership.MapLabels(r.Labels)) {
			return true
		}
	}
	return false
}

// rollback submits the edits that restore the declarations of an older version.
func (s *Server) rollback(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Rollback
	if !readBody(w, r, &q) {
		return
	}
	old, ok := s.loadVersion(w, r, q.Version)
	if !ok {
		return
	}
	current := s.Core.Configuration.State()
	submission := versionlog.Submission{RequestID: q.RequestID, Operator: q.Operator, Message: "rollback to version " + strconv.FormatUint(uint64(q.Version), 10)}
	for _, e := range current.Set().Difference(old.Set(), true) {
		submission.Proposals = append(submission.Proposals, versionlog.Proposal{Edit: e, Base: current.Origin(e.Key).Version})
	}
	s.commit(w, r, submission)
}

// drain starts or ends the drain of all backend servers beside this daemon.
func (s *Server) drain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Drain
	if !readBody(w, r, &q) {
		return
	}
	s.Core.IsDraining.Store(q.IsDraining)
	s.Core.Backends.SetDraining(q.IsDraining)
	writeJSON(w, http.StatusOK, q)
}

// quarantine answers with the requests that ran during crashes.
func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, s.Core.CrashGuard.Entries())
}

// release clears a quarantined request at all daemons.
func (s *Server) release(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q operatorapi.Release
	if !readBody(w, r, &q) {
		return
	}
	s.Core.CrashGuard.Release(q.Fingerprint)
	writeJSON(w, http.StatusOK, q)
}

// announce registers a backend server or renews its announcement.
func (s *Server) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var a operatorapi.Announcement
	if !readBody(w, r, &a) {
		return
	}
	if err := s.Core.Backends.Announce(a, time.Now()); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// withdraw removes an announced backend server.
func (s *Server) withdraw(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.Core.Backends.Remove(p.ByName("name"))
	writeJSON(w, http.StatusOK, struct{}{})
}
