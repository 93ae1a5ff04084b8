// Package control calls the control paths of the stand-ins (platform, engines and services) and the admin APIs of
// routers.
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

// timeout bounds a call, so that a frozen process does not delay the run.
const timeout = 2 * time.Second

const maxResponseBytes = 256 << 20

// Client calls control paths with JSON bodies. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

func NewClient() *Client { return &Client{http: &http.Client{Timeout: timeout}} }

// Do sends body as JSON unless it is nil, and decodes the response into out unless that is nil. A status other than 200
// is an error.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
