// Package scores reads the journal of the users' bench and compares the scores of deployments.
package scores

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Noise is the change of a day's worth up to which two scores count as equal, because the bench measures processor time.
const Noise = 0.03

var (
	// ErrNoScore means that the journal has no score of a deployment.
	ErrNoScore = errors.New("scores: no score in the journal")
	// ErrEntry is wrapped by the errors about an entry of the journal that can't be read.
	ErrEntry = errors.New("scores: unreadable journal entry")
)

// Day is the result of one standard day.
type Day struct {
	Worth float64
	// Broken are the names of the rules that were broken, and Fault a fault of the whole day, empty if there was none.
	Broken []string
	Fault  string
	// Passed reports whether the day passed the gate.
	Passed bool
}

// Score is one score of a deployment.
type Score struct {
	Site, ID, Why string
	// Head is the commit that was measured, Dirty whether the sources differed from it.
	Head  string
	Dirty bool
	At    time.Time
	Days  map[string]Day
	// Partial is set if not all standard days were played.
	Partial bool
}

type entry struct {
	ID string `json:"id"`
	// At holds the times of start and end; the end of an interrupted run is empty.
	At    []string `json:"at"`
	Cmd   string   `json:"cmd"`
	Why   string   `json:"why"`
	Head  string   `json:"head"`
	Dirty bool     `json:"dirty"`
	// Mode is empty for a score of all standard days.
	Mode    string     `json:"mode"`
	Site    string     `json:"site"`
	Days    []entryDay `json:"days"`
	LeftOut int        `json:"days_left_out"`
}

type entryDay struct {
	Name string `json:"name"`
	// Worth is the day's credit less prices, before it is cut to the range of a score.
	Worth  float64        `json:"G"`
	Rules  map[string]any `json:"rules"`
	Fault  any            `json:"fault"`
	Passed bool           `json:"gate"`
}

// Read returns the scores of the directory's journal, oldest first.
func Read(directory string) ([]Score, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("scores: list %s: %w", directory, err)
	}
	var found []Score
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("scores: read %s: %w", path, err)
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrEntry, path, err)
		}
		if e.Cmd == "score" && e.Site != "" && len(e.Days) > 0 {
			s, err := e.decode()
			if err != nil {
				return nil, fmt.Errorf("%w: %s: %w", ErrEntry, path, err)
			}
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b Score) int { return a.At.Compare(b.At) })
	return found, nil
}

func (e entry) decode() (Score, error) {
	s := Score{Site: e.Site, ID: e.ID, Why: e.Why, Head: e.Head, Dirty: e.Dirty, Days: map[string]Day{}, Partial: e.Mode != "" || e.LeftOut > 0}
	if len(e.At) == 0 {
		return s, errors.New("the time is missing")
	}
	var err error
	if s.At, err = time.Parse(time.RFC3339, e.At[0]); err != nil {
		return s, err
	}
	for _, d := range e.Days {
		day := Day{Worth: d.Worth, Passed: d.Passed, Broken: slices.Sorted(maps.Keys(d.Rules))}
		if d.Fault != nil {
			day.Fault = fmt.Sprint(d.Fault)
		}
		s.Days[d.Name] = day
	}
	return s, nil
}

// Latest returns the newest score of a site, and the newest one before it that measured another commit. before is nil if
// there is none.
func Latest(all []Score, site string) (latest Score, before *Score, err error) {
	var found []Score
	for _, s := range all {
		if s.Site == site {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return Score{}, nil, fmt.Errorf("%w: %s", ErrNoScore, site)
	}
	latest = found[len(found)-1]
	for _, s := range slices.Backward(found[:len(found)-1]) {
		if s.Head != latest.Head || s.Dirty != latest.Dirty {
			return latest, &s, nil
		}
	}
	return latest, nil, nil
}

// Finding is a day that got worse or failed.
type Finding struct {
	Day, Text string
	// Failed is set for a broken rule, a fault or a missed gate, and not for a fall of the worth alone.
	Failed bool
}

// Compare returns the findings of a score against an earlier one, which may be nil, by day.
func Compare(latest Score, before *Score) []Finding {
	var found []Finding
	for _, name := range slices.Sorted(maps.Keys(latest.Days)) {
		day := latest.Days[name]
		switch {
		case len(day.Broken) > 0:
			found = append(found, Finding{Day: name, Failed: true, Text: "broken: " + strings.Join(day.Broken, ", ")})
		case day.Fault != "":
			found = append(found, Finding{Day: name, Failed: true, Text: "fault: " + day.Fault})
		case !day.Passed:
			found = append(found, Finding{Day: name, Failed: true, Text: "gate not passed"})
		}
		if before == nil {
			continue
		}
		if old, ok := before.Days[name]; ok && day.Worth < old.Worth-Noise {
			found = append(found, Finding{Day: name, Text: fmt.Sprintf("worth fell from %.3f to %.3f", old.Worth, day.Worth)})
		}
	}
	return found
}

// MeanWorth returns the mean worth of all days.
func (s Score) MeanWorth() float64 {
	sum := 0.0
	for _, d := range s.Days {
		sum += d.Worth
	}
	return sum / float64(max(1, len(s.Days)))
}
