package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Parse decodes and validates settings in YAML. Errors wrap ErrInvalid and name the field.
func Parse(data []byte) (Settings, error) {
	if len(data) > MaxFileBytes {
		return Settings{}, fmt.Errorf("%w: larger than %d bytes", ErrInvalid, MaxFileBytes)
	}
	var tree any
	if err := yaml.Unmarshal(data, &tree); err != nil {
		return Settings{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	settings := Default()
	if err := checkNode("", tree, reflect.TypeFor[Settings]()); err != nil {
		return Settings{}, err
	}
	if err := yaml.UnmarshalWithOptions(data, &settings, yaml.Strict()); err != nil {
		return Settings{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	if err := Validate(settings); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// UnmarshalYAML decodes a duration. Parse reports malformed durations before, in checkNode, with the field's path.
func (d *Duration) UnmarshalYAML(data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// checkNode checks that a decoded YAML tree matches the type that it will be decoded into, because errors of the YAML
// library name the line but not the path of the field.
func checkNode(path string, node any, typ reflect.Type) error {
	switch {
	case typ == reflect.TypeFor[Duration]():
		return checkDuration(path, node)
	case typ.Kind() == reflect.Struct:
		return checkMapping(path, node, typ)
	case typ.Kind() == reflect.Slice:
		return checkSequence(path, node, typ)
	}
	if _, ok := node.(string); !ok {
		return invalidf(path, "must be a string")
	}
	return nil
}

func checkMapping(path string, node any, typ reflect.Type) error {
	mapping, ok := node.(map[string]any)
	if !ok {
		return invalidf(path, "must be a mapping with the fields %s", strings.Join(fieldNames(typ), ", "))
	}
	names := fieldNames(typ)
	keys := make([]string, 0, len(mapping))
	for key := range mapping {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		i := slices.Index(names, key)
		if i < 0 {
			return invalidf(joinPath(path, key), "unknown field; allowed are %s", strings.Join(names, ", "))
		}
		if err := checkNode(joinPath(path, key), mapping[key], typ.Field(i).Type); err != nil {
			return err
		}
	}
	return nil
}

func checkSequence(path string, node any, typ reflect.Type) error {
	items, ok := node.([]any)
	if !ok {
		return invalidf(path, "must be a sequence")
	}
	for i, item := range items {
		if err := checkNode(fmt.Sprintf("%s[%d]", path, i), item, typ.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkDuration(path string, node any) error {
	text, ok := node.(string)
	if ok {
		_, err := time.ParseDuration(text)
		ok = err == nil
	}
	if !ok {
		return invalidf(path, "%v is not a duration; allowed is a number with the unit ms, s, m or h, such as 300ms", node)
	}
	return nil
}

func fieldNames(typ reflect.Type) []string {
	names := make([]string, typ.NumField())
	for i := range names {
		names[i] = typ.Field(i).Tag.Get("yaml")
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func invalidf(path, format string, args ...any) error {
	if path == "" {
		path = "the file"
	}
	return fmt.Errorf("%w: %s: %s", ErrInvalid, path, fmt.Sprintf(format, args...))
}
