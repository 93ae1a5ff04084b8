package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
)

// Kind is a kind of configuration object.
type Kind string

// Kinds.
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
	// MaxDeadlineMS is the longest deadline of a class, the time after which any request is ended.
	MaxDeadlineMS = 600_000
	// MaxOutputTokens is the largest output limit of a class.
	MaxOutputTokens = 1 << 20
)

// ErrInvalid is wrapped by errors about the content of an object. They name the field.
var ErrInvalid = errors.New("config: invalid object")

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// KeyOf returns the platform key of an object.
func KeyOf(kind Kind, name string) string { return Prefix + string(kind) + "/" + name }

// ValidName reports whether the text may name a class, organisation, budget or VM: 1 to 63 of a-z, 0-9, '.', '_'
// and '-', with a letter or digit first and last.
func ValidName(text string) bool { return namePattern.MatchString(text) }

// Check decodes the value of an object strictly, checks it and returns it in canonical form.
func Check(kind Kind, name string, value []byte) ([]byte, error) {
	switch kind {
	case KindClass:
		return check(value, func(c Class) error { return checkClass(c, name) })
	case KindOrganisation:
		return check(value, func(o Organisation) error { return checkOrganisation(o, name) })
	case KindKey:
		return check(value, func(k Key) error { return checkKey(k, name) })
	case KindVM:
		return check(value, func(m VMMark) error { return checkMark(m, name) })
	case KindPlacement:
		return check(value, func(p Placement) error { return checkPlacement(p, name) })
	}
	return nil, fmt.Errorf("%w: kind %q is unknown; allowed are %v", ErrInvalid, kind, Kinds)
}

func check[T any](value []byte, rules func(T) error) ([]byte, error) {
	var typed T
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&typed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := rules(typed); err != nil {
		return nil, err
	}
	return json.Marshal(typed)
}

func checkClass(c Class, name string) error {
	if err := checkName("name", c.Name, name); err != nil {
		return err
	}
	if c.Target != TargetWhole && c.Target != TargetDeadline {
		return invalidf("target", "%q is not allowed; allowed are whole and deadline", c.Target)
	}
	if c.Target == TargetWhole && c.DeadlineMS != 0 {
		return invalidf("deadline_ms", "is set, but the target is whole; allowed is a deadline with the target deadline only")
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
		return invalidf("default_class", "%q is not the name of a class", o.DefaultClass)
	}
	if o.MaxInFlight < 0 {
		return invalidf("max_in_flight", "%d is negative; allowed are 0 (no limit) and more", o.MaxInFlight)
	}
	return nil
}

func checkKey(k Key, name string) error {
	if k.SHA256 != name || !sha256Pattern.MatchString(k.SHA256) {
		return invalidf("sha256", "%q is not allowed; allowed is the SHA-256 in hex that names the object", k.SHA256)
	}
	if k.Operator {
		if k.Organisation != "" || k.Budget != "" {
			return invalidf("operator", "an operator key has no organisation and no budget")
		}
		return nil
	}
	if !ValidName(k.Organisation) {
		return invalidf("organisation", "%q is not the id of an organisation", k.Organisation)
	}
	if k.Budget != "" && !ValidName(k.Budget) {
		return invalidf("budget", "%q is not the name of a budget", k.Budget)
	}
	return nil
}

func checkMark(m VMMark, name string) error {
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
		return invalidf(field, "%q is not allowed; allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit first and last, and the object's own name", value)
	}
	return nil
}

func invalidf(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}
