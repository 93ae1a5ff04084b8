package report

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// WriteTrace writes each request with its attempts to a file as one line of JSON.
func WriteTrace(requests []*observation.Request, path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = closeErr
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
