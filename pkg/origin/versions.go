package origin

import (
	"maps"
	"time"
)

// MaxStreamAge is more than the time from the first event of a stream until its caller takes it up again for the last time.
const MaxStreamAge = 30 * time.Second

// versions is what a router has seen of the software versions of one service. It reads no clock.
type versions struct {
	// current holds the versions that the service has now, leaving endpoints included.
	current map[string]bool
	// since is the time from which the service is known to have had these versions and no others.
	since time.Time
	// replaced is set once the router has seen other versions. Then it knows better than the record since when this is so.
	replaced bool
}

// update sets the current versions and reports whether they changed. A service without endpoints keeps the last ones: the streams
// that began there may still be taken up.
func (v *versions) update(now time.Time, current map[string]bool) (changed bool) {
	if len(current) == 0 || maps.Equal(v.current, current) {
		return false
	}
	v.replaced = v.current != nil
	v.current, v.since = current, now
	return true
}

// only returns the version that all endpoints of the service have.
func (v *versions) only() (software string, ok bool) {
	if len(v.current) != 1 {
		return "", false
	}
	for software = range v.current {
	}
	return software, true
}

// settled returns the version at which every stream of the service began that may still be taken up, if there is only one.
func (v *versions) settled(now time.Time) (software string, ok bool) {
	software, ok = v.only()
	return software, ok && now.Sub(v.since) >= MaxStreamAge
}

// isMixed reports whether the service has several versions or has changed its only one within MaxStreamAge.
func (v *versions) isMixed(now time.Time) bool {
	return len(v.current) > 1 || v.replaced && now.Sub(v.since) < MaxStreamAge
}
