package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/caller"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
)

const (
	// openTimeout bounds the wait for the first token of all streams.
	openTimeout = 30 * time.Second
	// steadyTime passes between the first token of the last stream and the measurement.
	steadyTime = 3 * time.Second
	// openers is the number of streams that are opened at once.
	openers = 250
	// streamTokens is large enough for the streams to stay open.
	streamTokens = 1000
)

// openStreams opens the streams at the slow engine through the router and measures the growth of its resident memory.
func openStreams(ctx context.Context, f fleet.Fleet, o Options) (Streams, error) {
	ctx, cancel := context.WithCancel(ctx)
	router := f.Routers[0]
	result := Streams{BeforeBytes: residentBytes(router.PID)}
	if result.BeforeBytes == 0 {
		cancel()
		return result, fmt.Errorf("the memory of process %d of %s can't be read", router.PID, router.VM)
	}
	var running conc.WaitGroup
	defer running.Wait()
	defer cancel()
	var first, ended atomic.Int64
	client := caller.NewHTTPClient()
	tickets := make(chan struct{}, openers)
	start := time.Now()
	opening, stopOpening := context.WithTimeout(ctx, openTimeout)
	defer stopOpening()
	for n := range o.Streams {
		if !take(opening, tickets) {
			break
		}
		running.Go(func() {
			defer ended.Add(1)
			readStream(ctx, client, router.Caller, f.Keys[n%len(f.Keys)].Key, o, func() {
				first.Add(1)
				<-tickets
			}, func() { <-tickets })
		})
	}
	for int(first.Load()) < o.Streams && opening.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	result.OpenedSeconds = time.Since(start).Seconds()
	time.Sleep(steadyTime)
	result.Open = int(first.Load() - ended.Load())
	result.WithBytes = residentBytes(router.PID)
	if result.Open <= 0 {
		return result, fmt.Errorf("no stream is open")
	}
	result.BytesEach = float64(result.WithBytes-result.BeforeBytes) / float64(result.Open)
	return result, nil
}

// take takes a ticket unless ctx ends.
func take(ctx context.Context, tickets chan struct{}) bool {
	select {
	case tickets <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// readStream calls onFirst at the first token, or onFailure if the stream ends before.
func readStream(ctx context.Context, client *http.Client, address, key string, o Options, onFirst, onFailure func()) {
	started := false
	defer func() {
		if !started {
			onFailure()
		}
	}()
	body := chatBody(o.SlowModel, o.PromptTokens, streamTokens, true)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !started && bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			started = true
			onFirst()
		}
	}
}
