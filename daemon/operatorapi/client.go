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

// maximumAnswer bounds the body of an answer in bytes.
const maximumAnswer = 64 << 20

// Client calls the operator listener of one daemon; its fields are set before use.
type Client struct {
	// Address is the IP number and port of the operator listener.
	Address string
	Token   string
	HTTP    *http.Client
}

// StatusError reports an answer with an error status.
type StatusError struct {
	status int
	reason string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error returns the status and the reason that the daemon gave.
func (e *StatusError) Error() string { return strconv.Itoa(e.status) + ": " + e.reason }

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
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	return decode(response.StatusCode, data, answer)
}

// decode reads the answer; one with an error status may still be an answer to a submission.
func decode(status int, data []byte, answer any) error {
	_, isSubmission := answer.(*SubmissionResult)
	if status < http.StatusMultipleChoices || isSubmission && bytes.Contains(data, []byte(`"disposition"`)) {
		return eris.Wrap(json.Unmarshal(data, answer), "decode answer")
	}
	var p Problem
	if json.Unmarshal(data, &p) != nil || p.Reason == "" {
		p.Reason = string(data)
	}
	return &StatusError{status: status, reason: p.Reason}
}

// Status returns the state of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
}

// Declarations returns the declarations in force, or those of a version above 0.
func (c *Client) Declarations(ctx context.Context, v declaration.Version) (Declarations, error) {
	query := url.Values{}
	if v > 0 {
		query.Set("version", strconv.FormatUint(uint64(v), 10))
	}
	var d Declarations
	return d, c.call(ctx, http.MethodGet, "/v1/declarations", query, nil, &d)
}

// History returns the newest versions in order.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	return entries, c.call(ctx, http.MethodGet, "/v1/history", nil, nil, &entries)
}

// Convergence tells where a version is in force.
func (c *Client) Convergence(ctx context.Context, v declaration.Version) (Convergence, error) {
	var answer Convergence
	query := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}}
	return answer, c.call(ctx, http.MethodGet, "/v1/convergence", query, nil, &answer)
}

// Timeline returns the events of all reachable daemons that match the filter.
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

// Submit asks for a change and returns what became of it.
func (c *Client) Submit(ctx context.Context, s versionlog.Submission) (SubmissionResult, error) {
	var r SubmissionResult
	return r, c.call(ctx, http.MethodPost, "/v1/submissions", nil, s, &r)
}

// Rollback asks for a new version with the content of an old one.
func (c *Client) Rollback(ctx context.Context, q Rollback) (SubmissionResult, error) {
	var r SubmissionResult
	return r, c.call(ctx, http.MethodPost, "/v1/rollback", nil, q, &r)
}

// Drain starts or ends the drain of the backend servers beside the daemon.
func (c *Client) Drain(ctx context.Context, d Drain) error {
	return c.call(ctx, http.MethodPost, "/v1/drain", nil, d, &Drain{})
}

// Quarantine returns the requests that ran when backend servers crashed.
func (c *Client) Quarantine(ctx context.Context) ([]quarantine.Entry, error) {
	var entries []quarantine.Entry
	return entries, c.call(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &entries)
}

// Release lets a quarantined request run again at all daemons.
func (c *Client) Release(ctx context.Context, r Release) error {
	return c.call(ctx, http.MethodPost, "/v1/quarantine/release", nil, r, &Release{})
}

// Announce announces a backend server; the token is that of the backend servers.
func (c *Client) Announce(ctx context.Context, a Announcement) error {
	return c.call(ctx, http.MethodPost, "/v1/announcements", nil, a, &struct{}{})
}

// Withdraw takes an announcement back.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodDelete, "/v1/announcements/"+url.PathEscape(name), nil, nil, &struct{}{})
}
