package entry

import (
	"context"
	"net/http"
	"time"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/organisation"
	"siskinspar.example/sidecar/quota"
	"siskinspar.example/sidecar/route"
)

// Quotas bounds the requests of organisations over all daemons.
type Quotas interface {
	// Admit decides whether the quota of an organisation allows a further request, for which it then counts. The call may
	// take until another daemon has replied.
	Admit(ctx context.Context, o *organisation.Organisation) quota.Admission
	// Return takes back the admission of a request that has not run; until is that of the admission.
	Return(o *organisation.Organisation, until time.Time)
}

// reasonOverQuota is the reason of a request that the quota of its organisation does not allow.
const reasonOverQuota = "over the quota of the organisation"

// identify returns the organisation that a request belongs to, or nil for none. It reports false for a request that
// needs the key of an organisation and has none. Calls of backend servers carry no key and use public routes.
func identify(t *route.Table, matched *route.Route, authorization []string) (client *organisation.Organisation, ok bool) {
	organisations := t.Organisations()
	if organisations == nil {
		return nil, true
	}
	client, ok = organisations.Identify(authorization)
	return client, ok || matched.IsPublic()
}

// refuseUnidentified returns the response to a request without a valid key.
func (h *Handler) refuseUnidentified(id string) *ingress.Response {
	response := h.refuse(id, http.StatusUnauthorized, 0)
	response.Header.Set("WWW-Authenticate", "Bearer")
	return response
}

// recordOrganisation records the organisation of the request, which is nil for none. The API key is not passed on, and neither is
// an organisation that the client names.
func (c *clientCall) recordOrganisation(headers Headers, t *route.Table, client *organisation.Organisation) {
	if t.Organisations() == nil {
		return
	}
	headers.RemoveIdentity(c.request.Header)
	if client == nil {
		return
	}
	c.organisation = client
	c.request.Organisation = client.Name()
	// Backend servers have no keys.
	c.isNested = false
}

// serveWithinQuota serves a request of an organisation with a quota, or refuses it if the quota does not allow it.
func (h *Handler) serveWithinQuota(ctx context.Context, c *clientCall) clientResult {
	limited, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	admission := h.Quotas.Admit(limited, c.organisation)
	switch {
	case admission.IsAdmitted:
		c.isFlood = admission.IsFlood
		r := h.dispatch(ctx, c)
		if r.outcome == message.NotRun {
			h.Quotas.Return(c.organisation, admission.Until)
		}
		return r
	case ctx.Err() != nil:
		return clientResult{response: &ingress.Response{IsAborted: true}, outcome: message.NotRun, reason: "the client disconnected"}
	}
	return clientResult{response: h.refuse(c.request.ID, http.StatusTooManyRequests, admission.RetryAfter), outcome: message.NotRun, reason: reasonOverQuota, retryAfter: admission.RetryAfter}
}
