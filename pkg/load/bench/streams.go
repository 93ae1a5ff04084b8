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
	// openingTimeout bounds the wait for the first token of all streams.
	openingTimeout = 30 * time.Second
	// settlingTime is the delay between the first token of the last stream and the measurement of memory.
	settlingTime = 3 * time.Second
	// maxOpening bounds the streams that are being opened at the same time.
	maxOpening = 250
	// streamTokens is the output limit of a stream, large enough that streams stay open during the measurement.
	streamTokens = 1000
)

// openStreams opens o.Streams streams to the slow engine through the router and measures the growth of the router's
// resident memory.
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
	var started, ended atomic.Int64
	client := caller.NewHTTPClient()
	slots := make(chan struct{}, maxOpening)
	start := time.Now()
	opening, stopOpening := context.WithTimeout(ctx, openingTimeout)
	defer stopOpening()
	for n := range o.Streams {
		if !acquireSlot(opening, slots) {
			break
		}
		running.Go(func() {
			defer ended.Add(1)
			readStream(ctx, client, router.Caller, f.Keys[n%len(f.Keys)].Key, o, func() {
				started.Add(1)
				<-slots
			}, func() { <-slots })
		})
	}
	for int(started.Load()) < o.Streams && opening.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	result.OpenedSeconds = time.Since(start).Seconds()
	time.Sleep(settlingTime)
	result.Open = int(started.Load() - ended.Load())
	result.WithBytes = residentBytes(router.PID)
	if result.Open <= 0 {
		return result, fmt.Errorf("no stream is open")
	}
	result.BytesEach = float64(result.WithBytes-result.BeforeBytes) / float64(result.Open)
	return result, nil
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// readStream opens a stream and reads it to its end. It calls onFirst at the first token, or onFailure if the stream ends
// before that.
func readStream(ctx context.Context, client *http.Client, address, key string, o Options, onFirst, onFailure func()) {
	hasStarted := false
	defer func() {
		if !hasStarted {
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
		if !hasStarted && bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			hasStarted = true
			onFirst()
		}
	}
}
