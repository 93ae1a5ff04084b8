package report

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// Trace writes each request with its attempts as one line of JSON.
func Trace(requests []*observation.Request, path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	defer func() {
		if closed := file.Close(); err == nil && closed != nil {
			err = closed
		}
	}()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, r := range requests {
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	return buffered.Flush()
}
