// Package routerlog reads the log lines of a fleet's routers as a play prints them: SECONDS ROUTER JSON.
package routerlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxLineBytes bounds a line of the log.
const maxLineBytes = 1 << 20

// ErrNoLines means that the input has no line of a router.
var ErrNoLines = errors.New("routerlog: no line of a router")

// Line is one log line of a router.
type Line struct {
	// At is the time in seconds from the start of traffic.
	At     float64
	Router string
	// Message names the kind of line, such as request_done.
	Message string
	Fields  json.RawMessage
}

// Read calls handle with each line of a router, in the order of the input, and skips all others. It returns the first error of handle,
// ErrNoLines, or an error of the input.
func Read(r io.Reader, handle func(Line) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	found := false
	for scanner.Scan() {
		parts := strings.SplitN(strings.TrimSpace(scanner.Text()), " ", 3)
		if len(parts) < 3 || !strings.HasPrefix(parts[2], "{") {
			continue
		}
		at, err := strconv.ParseFloat(parts[0], 64)
		if err != nil {
			continue
		}
		var l struct {
			Message string          `json:"message"`
			Fields  json.RawMessage `json:"fields"`
		}
		if json.Unmarshal([]byte(parts[2]), &l) != nil {
			continue // A line of another program.
		}
		found = true
		if err := handle(Line{At: at, Router: parts[1], Message: l.Message, Fields: l.Fields}); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("routerlog: read: %w", err)
	}
	if !found {
		return ErrNoLines
	}
	return nil
}
