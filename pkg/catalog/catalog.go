// Package catalog holds the operator's configuration of routes, services, organisations and keys as an immutable
// snapshot.
package catalog

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error about the content of a configuration.
var ErrInvalid = errors.New("catalog: invalid configuration")

// Semantics states how often a request of a route may run.
type Semantics int

// Values of Semantics.
const (
	// Idempotent requests may run any number of times.
	Idempotent Semantics = iota
	// AtMostOnce requests must not run twice.
	AtMostOnce
)

// Backend is a service that a route sends a share of its requests to.
type Backend struct {
	Service string
	// Weight is the share relative to the route's other backends.
	Weight int
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Semantics Semantics
	// Streaming routes respond with a stream of events.
	Streaming bool
	// Resumable streams may continue at another endpoint after their last delivered event.
	Resumable bool
	// Timeout bounds the time until the end of the response.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of a stream.
	Objective time.Duration
	// PauseObjective is the longest pause between the events of a stream with which it is on time; 0 if unknown.
	PauseObjective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public   bool
	Backends []Backend
	// AllowedRegions are the regions in which its requests may run, any if there are none.
	AllowedRegions []string
}

// Organisation owns keys and a prepaid budget.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the number of tokens that the organisation may use. It applies only if Limited is set.
	Prepaid int64
	Limited bool
	// AllowedRegions are the regions in which its requests may run, any if there are none.
	AllowedRegions []string
}

// Service describes a service, which is offered by the endpoints with its name.
type Service struct {
	Name string
	// TokensPerEvent is the number of output tokens in an event of a stream; 0 if the service is not a model engine.
	TokensPerEvent int
	// Slots is the number of requests that an engine runs concurrently; 0 if unknown.
	Slots int
	// MaxConnections is the number of connections that an endpoint accepts from all routers together; 0 if unknown.
	MaxConnections int
	// ColdStart is how long an endpoint is cold after its start, and ColdPerSecond the requests a second that it bears from all routers
	// together while it is cold; 0 if it is never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the content of one version of the configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Snapshot is an immutable, indexed configuration.
type Snapshot struct {
	// Version is the version set by the operator, Revision the revision of the object in the store.
	Version, Revision uint64
	Limits            Limits
	hosts             map[string][]Route
	services          map[string]Service
	keys              map[string]*Organisation
	organisations     map[string]*Organisation
}

// New validates and indexes a configuration. Its errors wrap ErrInvalid and name the route and the field.
func New(c Config, revision uint64) (*Snapshot, error) {
	if problems := c.Validate(); len(problems) > 0 {
		return nil, problems
	}
	s := &Snapshot{
		Version: c.Version, Revision: revision, Limits: c.Limits,
		hosts: map[string][]Route{}, services: make(map[string]Service, len(c.Services)), keys: map[string]*Organisation{},
		organisations: make(map[string]*Organisation, len(c.Organisations)),
	}
	for _, service := range c.Services {
		s.services[service.Name] = service
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, routes := range s.hosts {
		// The longest prefix is tried first.
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range c.Organisations {
		s.organisations[o.Name] = &o
		for _, key := range o.Keys {
			s.keys[key] = &o
		}
	}
	return s, nil
}

// Match returns the route of the host with the longest prefix of the path. The case of the host and, unless a route
// names it, its port are ignored.
func (s *Snapshot) Match(host, path string) (Route, bool) {
	routes, ok := s.hosts[strings.ToLower(host)]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = s.hosts[strings.ToLower(host[:i])]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// KeysRequired reports whether requests of routes that are not public need a key.
func (s *Snapshot) KeysRequired() bool { return len(s.organisations) > 0 }

// ByKey returns the organisation that owns the key.
func (s *Snapshot) ByKey(key string) (*Organisation, bool) {
	o, ok := s.keys[key]
	return o, ok
}

// Organisation returns the organisation with the name.
func (s *Snapshot) Organisation(name string) (*Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Service returns the service with the name.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Pick chooses a service by the weights of the backends, given a random number sample uniform in [0, 1). If all weights
// are 0, it returns the first service. The route must have a backend.
func (r Route) Pick(sample float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	remaining := sample * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(max(0, b.Weight))
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
