package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	validate      = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	rules := map[string]validator.Func{
		"name":       func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) },
		"sha256_hex": func(f validator.FieldLevel) bool { return sha256Pattern.MatchString(f.Field().String()) },
		"ip_port":    func(f validator.FieldLevel) bool { return isIPPort(f.Field().String()) },
		"between":    isBetween,
	}
	for tag, rule := range rules {
		if err := v.RegisterValidation(tag, rule); err != nil {
			panic(fmt.Sprintf("settings: register validation rule %s: %v", tag, err))
		}
	}
	return v
}

func isIPPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == ""
}

func isBetween(f validator.FieldLevel) bool {
	low, high, _ := strings.Cut(f.Param(), " ")
	minimum, errLow := time.ParseDuration(low)
	maximum, errHigh := time.ParseDuration(high)
	value := time.Duration(f.Field().Int())
	return errLow == nil && errHigh == nil && value >= minimum && value <= maximum
}

// Validate checks the rules of the fields and the rules that concern several fields. Errors wrap ErrInvalid and name
// the field.
func Validate(s Settings) error {
	err := validate.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return describeViolation(fields[0])
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := checkAddresses(s); err != nil {
		return err
	}
	return checkIntervals(s.Intervals)
}

func describeViolation(field validator.FieldError) error {
	path := strings.TrimPrefix(field.Namespace(), "Settings.")
	switch field.Tag() {
	case "required":
		return invalidf(path, "is required")
	case "name":
		return invalidf(path, "%q is not a name; allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit first and last", field.Value())
	case "ip_port":
		return invalidf(path, "%q is not allowed; allowed is an IP address with a port, such as 10.0.0.1:8080; host names and port 0 are not", field.Value())
	case "between":
		low, high, _ := strings.Cut(field.Param(), " ")
		return invalidf(path, "%v is out of range; allowed are %s to %s", field.Value(), low, high)
	case "oneof":
		return invalidf(path, "%q is not allowed; allowed are %s", field.Value(), strings.ReplaceAll(field.Param(), " ", ", "))
	case "unique":
		return invalidf(path, "contains a duplicate value")
	case "max":
		return invalidf(path, "has too many values; allowed are at most %s", field.Param())
	case "min":
		return invalidf(path, "has too few values; allowed are at least %s", field.Param())
	case "sha256_hex":
		return invalidf(path, "is not a SHA-256 hash; allowed are 64 characters of 0-9 and a-f")
	}
	return invalidf(path, "violates the rule %s", field.Tag())
}

type namedAddress struct{ path, text string }

func checkAddresses(s Settings) error {
	listen := []namedAddress{{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer}, {"listen.admin", s.Listen.Admin}}
	if err := checkDistinct(listen); err != nil {
		return err
	}
	advertise := []namedAddress{{"advertise.caller", s.Advertise.Caller}, {"advertise.peer", s.Advertise.Peer}}
	if err := checkDistinct(advertise); err != nil {
		return err
	}
	for i, a := range advertise {
		if err := checkAdvertised(a, listen[i]); err != nil {
			return err
		}
	}
	others := []namedAddress{{"listen.peer", s.Listen.Peer}, advertise[0], advertise[1], {"platform.address", s.Platform.Address}}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		for _, other := range others {
			if netip.MustParseAddrPort(peer) == netip.MustParseAddrPort(other.text) {
				return invalidf(path, "%s is the address of %s; allowed are addresses of other routers", peer, other.path)
			}
		}
		if netip.MustParseAddrPort(peer).Addr().IsUnspecified() {
			return invalidf(path, "%s is unspecified; allowed are addresses that this VM can connect to", peer)
		}
	}
	return nil
}

// checkDistinct rejects equal addresses, and equal ports if one of the addresses covers all interfaces.
func checkDistinct(addresses []namedAddress) error {
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			x, y := netip.MustParseAddrPort(a.text), netip.MustParseAddrPort(b.text)
			overlap := x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
			if x.Port() == y.Port() && overlap {
				return invalidf(a.path, "%s is also used by %s; allowed are distinct addresses", a.text, b.path)
			}
		}
	}
	return nil
}

func checkAdvertised(advertise, listen namedAddress) error {
	advertised, listening := netip.MustParseAddrPort(advertise.text), netip.MustParseAddrPort(listen.text)
	if advertised.Addr().IsUnspecified() || advertised.Addr().IsMulticast() {
		return invalidf(advertise.path, "%s can't be connected to; allowed is an address of this VM", advertise.text)
	}
	if listening.Addr().IsLoopback() != advertised.Addr().IsLoopback() && !listening.Addr().IsUnspecified() {
		return invalidf(advertise.path, "%s does not match %s, which is %s; allowed are both or neither on loopback", advertise.text, listen.path, listen.text)
	}
	return nil
}

func checkIntervals(i Intervals) error {
	if i.ProbeTimeout*2 > i.Probe {
		return invalidf("intervals.probe_timeout", "%s is too long; allowed is at most half of intervals.probe (%s), because indirect probes follow in the same period", i.ProbeTimeout, i.Probe)
	}
	if i.FailedAfter < 2*i.Probe {
		return invalidf("intervals.failed_after", "%s is too short; allowed is at least twice intervals.probe (%s)", i.FailedAfter, i.Probe)
	}
	return nil
}
