package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
)

// Kind is the type of a configuration object and the second segment of its key.
type Kind string

// Kinds of configuration objects.
const (
	KindClass        Kind = "class"
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindVM           Kind = "vm"
	KindPlacement    Kind = "placement"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindClass, KindOrganisation, KindKey, KindVM, KindPlacement}

const (
	// MaxDeadlineMS is the longest deadline of a class in ms. Every request is ended after this time.
	MaxDeadlineMS = 600_000
	// MaxOutputTokens is the largest output limit of a class.
	MaxOutputTokens = 1 << 20
)

// ErrInvalid is wrapped by errors about the content of an object. Errors about a field name the field.
var ErrInvalid = errors.New("config: invalid object")

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// KeyOf returns the platform key of an object.
func KeyOf(kind Kind, name string) string { return Prefix + string(kind) + "/" + name }

// ValidName reports whether text is a valid name of a class, organisation, budget or VM: 1 to 63 characters from a-z,
// 0-9, '.', '_' and '-' that start and end with a letter or digit.
func ValidName(text string) bool { return namePattern.MatchString(text) }

// Check decodes the value of an object, validates it and returns it in canonical form. Unknown fields are errors, and
// so is a value whose name differs from the given one. The errors wrap ErrInvalid.
func Check(kind Kind, name string, value []byte) ([]byte, error) {
	switch kind {
	case KindClass:
		return decodeAndValidate(value, func(c Class) error { return checkClass(c, name) })
	case KindOrganisation:
		return decodeAndValidate(value, func(o Organisation) error { return checkOrganisation(o, name) })
	case KindKey:
		return decodeAndValidate(value, func(k Key) error { return checkKey(k, name) })
	case KindVM:
		return decodeAndValidate(value, func(m VMMark) error { return checkVMMark(m, name) })
	case KindPlacement:
		return decodeAndValidate(value, func(p Placement) error { return checkPlacement(p, name) })
	}
	return nil, fmt.Errorf("%w: kind %q is unknown; allowed are %v", ErrInvalid, kind, Kinds)
}

func decodeAndValidate[T any](value []byte, validate func(T) error) ([]byte, error) {
	var object T
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&object); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := validate(object); err != nil {
		return nil, err
	}
	return json.Marshal(object)
}

func checkClass(c Class, name string) error {
	if err := checkName("name", c.Name, name); err != nil {
		return err
	}
	if c.Target != TargetWhole && c.Target != TargetDeadline {
		return invalidf("target", "%q is not allowed; allowed are whole and deadline", c.Target)
	}
	if c.Target == TargetWhole && c.DeadlineMS != 0 {
		return invalidf("deadline_ms", "is set, but the target is whole; a deadline is allowed only with the target deadline")
	}
	if c.Target == TargetDeadline && (c.DeadlineMS < 1 || c.DeadlineMS > MaxDeadlineMS) {
		return invalidf("deadline_ms", "%d is out of range; allowed are 1 to %d", c.DeadlineMS, MaxDeadlineMS)
	}
	if c.MaxOutputTokens < 1 || c.MaxOutputTokens > MaxOutputTokens {
		return invalidf("max_output_tokens", "%d is out of range; allowed are 1 to %d", c.MaxOutputTokens, MaxOutputTokens)
	}
	return nil
}

func checkOrganisation(o Organisation, name string) error {
	if err := checkName("id", o.ID, name); err != nil {
		return err
	}
	if !ValidName(o.DefaultClass) {
		return invalidf("default_class", "%q is not a valid class name", o.DefaultClass)
	}
	if o.MaxInFlight < 0 {
		return invalidf("max_in_flight", "%d is negative; allowed are 0 (no limit) and more", o.MaxInFlight)
	}
	return nil
}

func checkKey(k Key, name string) error {
	if k.SHA256 != name || !sha256Pattern.MatchString(k.SHA256) {
		return invalidf("sha256", "%q is not allowed; allowed is the object's own name, a SHA-256 in lower-case hex", k.SHA256)
	}
	if k.Operator {
		if k.Organisation != "" || k.Budget != "" {
			return invalidf("operator", "an operator key has no organisation and no budget")
		}
		return nil
	}
	if !ValidName(k.Organisation) {
		return invalidf("organisation", "%q is not a valid organisation id", k.Organisation)
	}
	if k.Budget != "" && !ValidName(k.Budget) {
		return invalidf("budget", "%q is not a valid budget name", k.Budget)
	}
	return nil
}

func checkVMMark(m VMMark, name string) error {
	if err := checkName("vm", m.VM, name); err != nil {
		return err
	}
	if m.Deadline != nil && !m.Leaving {
		return invalidf("deadline", "is set, but the VM is not leaving")
	}
	return nil
}

func checkPlacement(p Placement, name string) error {
	if err := checkName("vm", p.VM, name); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, m := range p.Models {
		if m.Model == "" || seen[m.Model] {
			return invalidf("models", "%q is empty or listed twice", m.Model)
		}
		seen[m.Model] = true
	}
	return nil
}

func checkName(field, value, name string) error {
	if value != name || !ValidName(value) {
		return invalidf(field, "%q is not allowed; allowed is the object's own name, 1 to 63 characters from a-z, 0-9, '.', '_' and '-' that start and end with a letter or digit", value)
	}
	return nil
}

func invalidf(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}
