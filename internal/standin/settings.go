package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// LoadSettings reads a YAML file into settings; fields that are not in the file keep their values. Unknown fields and
// values that violate the validate tags are errors that name the field.
func LoadSettings(path string, settings any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict(), yaml.Validator(validator.New()))
	if err := decoder.Decode(settings); err != nil {
		return fmt.Errorf("settings file %s: %w", path, err)
	}
	return nil
}

// DecodeJSON decodes body into value and returns an error for unknown fields.
func DecodeJSON(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}
