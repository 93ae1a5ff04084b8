package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
)

// readyPollInterval is the delay between two checks of a router that is not ready.
const readyPollInterval = 100 * time.Millisecond

// waitReady waits until each router answers an address lookup with the last key in the fleet file. A router that accepts
// this key has received the configuration.
func waitReady(ctx context.Context, args []string, stderr io.Writer) int {
	flags := newFlagSet("wait", stderr)
	path := flags.String("fleet", "", "fleet `file`")
	timeout := flags.Duration("timeout", 20*time.Second, "longest time to wait")
	if code, ok := parseFlags(flags, args, stderr, 0); !ok {
		return code
	}
	f, err := fleet.Load(*path)
	if err != nil || len(f.Keys) == 0 {
		fmt.Fprintln(stderr, "lsload: the fleet file can't be used or has no keys:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, r := range f.Routers {
		for !isReady(ctx, client, r, f.Keys[len(f.Keys)-1].Key) {
			select {
			case <-ctx.Done():
				fmt.Fprintf(stderr, "lsload: %s was not ready within %v\n", r.VM, *timeout)
				return ExitFailed
			case <-time.After(readyPollInterval):
			}
		}
	}
	return ExitOK
}

func isReady(ctx context.Context, client *http.Client, r fleet.Router, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Caller+"/v1/addresses", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
