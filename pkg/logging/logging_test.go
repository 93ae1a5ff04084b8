package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against ignoring the format or level, and against accepting unknown values.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(&out, "json", "warn")
	must.NoError(t, err)
	logger.Info("hidden")
	logger.WithField("vm", "entry-a1").Warn("shown")
	var line map[string]any
	must.NoError(t, json.Unmarshal(out.Bytes(), &line))
	must.Eq(t, "shown", line["message"])

	out.Reset()
	logger, err = New(&out, "text", "info")
	must.NoError(t, err)
	logger.Info("plain")
	must.StrContains(t, out.String(), "plain")

	_, err = New(&out, "xml", "info")
	must.ErrorContains(t, err, "xml")
	_, err = New(&out, "json", "loud")
	must.ErrorContains(t, err, "loud")
}
