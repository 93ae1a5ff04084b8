package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
)

var directClient = sync.OnceValue(NewHTTPClient)

// Direct sends a chat completion to an engine without a router and reads the whole answer.
func Direct(ctx context.Context, item workload.Item, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, item.Mix.RetryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.PathChat, bytes.NewReader(item.Body))
	if err != nil {
		return fmt.Errorf("direct request: %w", err)
	}
	req.Header.Set(engine.HeaderRequestID, requestID)
	resp, err := directClient().Do(req)
	if err != nil {
		return fmt.Errorf("direct request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("direct request: status %d: %w", resp.StatusCode, err)
	}
	return nil
}
