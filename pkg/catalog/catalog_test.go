package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newTestRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Backends: []Backend{{Service: "desk", Weight: 1}}}
}

// Guards against matching a request to a route with a shorter prefix, to a route of another host, or by a part of a path
// segment.
func TestMatch(t *testing.T) {
	s, err := New(Config{Routes: []Route{
		newTestRoute("short", "a.example", "/x/"), newTestRoute("long", "a.example", "/x/y/"), newTestRoute("other", "b.example", "/x/"),
	}}, 1)
	must.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"}, {"a.example", "/x/y/z", "long"}, {"A.Example", "/x/", "short"},
		{"a.example:8080", "/x/y/", "long"}, {"b.example", "/x/y/", "other"},
		{"a.example", "/x", ""}, {"a.example", "/xy/", ""}, {"c.example", "/x/", ""},
	} {
		r, ok := s.Match(c.host, c.path)
		must.EqOp(t, c.want != "", ok, must.Sprintf("%s%s", c.host, c.path))
		must.EqOp(t, c.want, r.Name)
	}
}

// Guards against applying a configuration with a route that can't be served.
func TestInvalidRoutes(t *testing.T) {
	for _, invalidate := range []func(*Route){
		func(r *Route) { r.Host = "" }, func(r *Route) { r.Prefix = "x/" }, func(r *Route) { r.Prefix = "/x" },
		func(r *Route) { r.Backends = nil }, func(r *Route) { r.Timeout = 0 },
	} {
		r := newTestRoute("r", "a.example", "/x/")
		invalidate(&r)
		_, err := New(Config{Routes: []Route{r}}, 1)
		must.ErrorIs(t, err, ErrInvalid)
	}
}

// Guards against shares that do not follow the backends' weights, and against returning a service that no backend names.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Route
		names := []string{"a", "b", "c"}
		for _, name := range names[:rapid.IntRange(1, 3).Draw(t, "backends")] {
			r.Backends = append(r.Backends, Backend{Service: name, Weight: rapid.IntRange(0, 9).Draw(t, "weight")})
		}
		total := 0
		for _, b := range r.Backends {
			total += b.Weight
		}
		counts := map[string]int{}
		const samples = 1000
		for i := range samples {
			counts[r.Pick((float64(i)+0.5)/samples)]++
		}
		for _, b := range r.Backends {
			if total > 0 {
				must.InDelta(t, float64(b.Weight)/float64(total), float64(counts[b.Service])/samples, 0.01)
			}
		}
	})
}
