package standin

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type testSettings struct {
	Listen string `yaml:"listen" validate:"required"`
	Part   struct {
		Wait  time.Duration `yaml:"wait" validate:"min=0"`
		Slots int           `yaml:"slots" validate:"min=1"`
	} `yaml:"part"`
}

// Guards against misspelt or invalid settings that are accepted, and against defaults that are reset by a file without
// the field.
func TestLoadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	load := func(text string) (testSettings, error) {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		s := testSettings{Listen: "a"}
		s.Part.Slots = 7
		return s, LoadSettings(path, &s)
	}
	s, err := load("part:\n  wait: 20ms\n")
	must.NoError(t, err)
	must.Eq(t, "a", s.Listen)
	must.Eq(t, 7, s.Part.Slots)
	must.Eq(t, 20*time.Millisecond, s.Part.Wait)
	for text, field := range map[string]string{
		"listne: x\n":            "listne",
		"listen: \"\"\n":         "Listen",
		"part:\n  slots: 0\n":    "Slots",
		"part:\n  wait: 20\nx: ": "x",
	} {
		_, err := load(text)
		must.ErrorContains(t, err, field)
	}
	must.Error(t, LoadSettings(path+".absent", &s))
}

// Guards against control requests with misspelt fields that are accepted.
func TestDecodeJSONIsStrict(t *testing.T) {
	var value struct {
		Kind string `json:"kind"`
	}
	must.NoError(t, DecodeJSON([]byte(`{"kind":"x"}`), &value))
	must.Error(t, DecodeJSON([]byte(`{"knid":"x"}`), &value))
}
