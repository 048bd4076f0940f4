package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"siskinspar.example/declaration"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// maximumResponseSize bounds the body of a response in bytes; what follows is not read.
const maximumResponseSize = 64 << 20

// Client calls the operator listener of one daemon; its fields are set before use.
//
// Its methods return a *StatusError when the daemon answers with an error status, and other errors when the request or
// the decoding of its response fails.
type Client struct {
	// Address is the IP number and port of the operator listener.
	Address string
	// Token is sent as the bearer token: that of the operators, or of the backend servers for announcements.
	Token string
	HTTP  *http.Client
}

// StatusError is a response with an error status.
type StatusError struct {
	status int
	reason string
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int { return e.status }

// Error returns the status code and the reason in the response, or its whole body when it holds no reason.
func (e *StatusError) Error() string { return strconv.Itoa(e.status) + ": " + e.reason }

// call sends a request in JSON and decodes the response into answer.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return eris.Wrapf(err, "call operator listener %s", c.Address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumResponseSize))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	return decodeResponse(response.StatusCode, data, answer)
}

// decodeResponse decodes a response into answer, or returns a *StatusError for an error status.
//
// A submission that is not accepted has an error status too, but its body is a SubmissionResult.
func decodeResponse(status int, data []byte, answer any) error {
	_, isSubmission := answer.(*SubmissionResult)
	if status < http.StatusMultipleChoices || isSubmission && bytes.Contains(data, []byte(`"disposition"`)) {
		return eris.Wrap(json.Unmarshal(data, answer), "decode response")
	}
	var p Problem
	if json.Unmarshal(data, &p) != nil || p.Reason == "" {
		p.Reason = string(data)
	}
	return &StatusError{status: status, reason: p.Reason}
}

// Status returns the status of the daemon, its backend servers and the members that it knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
}

// Declarations returns the declarations of version v, or those in force when v is 0.
func (c *Client) Declarations(ctx context.Context, v declaration.Version) (Declarations, error) {
	query := url.Values{}
	if v > 0 {
		query.Set("version", strconv.FormatUint(uint64(v), 10))
	}
	var d Declarations
	return d, c.call(ctx, http.MethodGet, "/v1/declarations", query, nil, &d)
}

// History returns the submissions accepted in the newest versions, oldest first.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	return entries, c.call(ctx, http.MethodGet, "/v1/history", nil, nil, &entries)
}

// Convergence returns how many daemons have version v in force and which have not or can't be reached.
func (c *Client) Convergence(ctx context.Context, v declaration.Version) (Convergence, error) {
	var answer Convergence
	query := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}}
	return answer, c.call(ctx, http.MethodGet, "/v1/convergence", query, nil, &answer)
}

// Timeline returns the events of all reachable daemons that match the filter, in causal order.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (Timeline, error) {
	query := url.Values{}
	for _, kind := range f.Kinds {
		query.Add("kind", string(kind))
	}
	if f.Instance != "" {
		query.Set("instance", f.Instance)
	}
	if !f.Since.IsZero() {
		query.Set("since", f.Since.UTC().Format("2006-01-02T15:04:05Z07:00"))
	}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	var t Timeline
	return t, c.call(ctx, http.MethodGet, "/v1/timeline", query, nil, &t)
}

// Submit submits a change of the declarations and returns its result; a refused change is a result, not an error.
func (c *Client) Submit(ctx context.Context, s versionlog.Submission) (SubmissionResult, error) {
	var r SubmissionResult
	return r, c.call(ctx, http.MethodPost, "/v1/submissions", nil, s, &r)
}

// Rollback submits a change that restores the declarations of an older version and returns its result.
func (c *Client) Rollback(ctx context.Context, q Rollback) (SubmissionResult, error) {
	var r SubmissionResult
	return r, c.call(ctx, http.MethodPost, "/v1/rollback", nil, q, &r)
}

// Drain starts or ends the drain of all backend servers beside the daemon.
func (c *Client) Drain(ctx context.Context, d Drain) error {
	return c.call(ctx, http.MethodPost, "/v1/drain", nil, d, &Drain{})
}

// Quarantine returns the requests that were running when backend servers crashed.
func (c *Client) Quarantine(ctx context.Context) ([]quarantine.Entry, error) {
	var entries []quarantine.Entry
	return entries, c.call(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &entries)
}

// Release lets a quarantined request run again at all daemons.
func (c *Client) Release(ctx context.Context, r Release) error {
	return c.call(ctx, http.MethodPost, "/v1/quarantine/release", nil, r, &Release{})
}

// Announce announces a backend server beside the daemon, or renews its announcement; it needs the token of the backend
// servers.
func (c *Client) Announce(ctx context.Context, a Announcement) error {
	return c.call(ctx, http.MethodPost, "/v1/announcements", nil, a, &struct{}{})
}

// Withdraw removes the announced backend server of that name; it needs the token of the backend servers.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, "/v1/announcements/"+url.PathEscape(name), nil, nil, &struct{}{})
}
