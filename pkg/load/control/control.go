// Package control calls the control paths of the stand-ins and the admin API of routers.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// timeout bounds a call. A frozen process must not hold up the run.
const timeout = 2 * time.Second

// maxBody bounds an answer.
const maxBody = 256 << 20

// Client calls control paths. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client { return &Client{http: &http.Client{Timeout: timeout}} }

// Do sends body as JSON, unless it is nil, and decodes the answer into out, unless that is nil.
func (c *Client) Do(ctx context.Context, method, address, path string, body, out any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, payload)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s http://%s%s: status %d: %s", method, address, path, resp.StatusCode, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}
