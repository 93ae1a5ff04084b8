package scores

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// writeJournal writes entries of a journal to a new directory, in the given order of time.
func writeJournal(t *testing.T, entries ...string) string {
	directory := t.TempDir()
	for i, e := range entries {
		text := fmt.Sprintf(`{"id":"e%d","at":["2026-12-04T10:%02d:00Z",""],%s}`, i, i, e)
		must.NoError(t, os.WriteFile(filepath.Join(directory, fmt.Sprintf("%02d.json", len(entries)-i)), []byte(text), 0o600))
	}
	return directory
}

const (
	earlier = `"cmd":"score","site":"cluj","head":"aaa","mode":null,"days_left_out":0,"days":[
{"name":"quiet","G":0.60,"rules":{},"fault":null,"gate":true},{"name":"trouble","G":0.50,"rules":{},"fault":null,"gate":true}]`
	later = `"cmd":"score","site":"cluj","head":"bbb","mode":null,"days_left_out":0,"days":[
{"name":"quiet","G":0.58,"rules":{},"fault":null,"gate":true},{"name":"trouble","G":0.46,"rules":{"DRAIN":2},"fault":null,"gate":false},
{"name":"fresh","G":0.1,"rules":{},"fault":"a program does not start","gate":false}]`
	run     = `"cmd":"run","site":"cluj","head":"bbb","days":[{"name":"quiet","G":0.1,"rules":{},"gate":true}]`
	noSite  = `"cmd":"score","site":null,"mode":null,"days":[]`
	another = `"cmd":"score","site":"kladno","head":"bbb","mode":"quick","days":[{"name":"quiet","G":0.7,"rules":{},"fault":null,"gate":true}]`
)

// Guards against a day that broke a rule, failed or fell by more than the noise and is not reported, and against a report
// of a change within the noise.
func TestCompare(t *testing.T) {
	all, err := Read(writeJournal(t, earlier, run, noSite, later, another))
	must.NoError(t, err)
	must.Len(t, 3, all)
	latest, before, err := Latest(all, "cluj")
	must.NoError(t, err)
	must.EqOp(t, "bbb", latest.Head)
	must.EqOp(t, "aaa", before.Head)
	must.Eq(t, []Finding{
		{Day: "fresh", Failed: true, Text: "fault: a program does not start"},
		{Day: "trouble", Failed: true, Text: "broken: DRAIN"},
		{Day: "trouble", Text: "worth fell from 0.500 to 0.460"},
	}, Compare(latest, before))

	latest, before, err = Latest(all, "kladno")
	must.NoError(t, err)
	must.True(t, latest.Partial)
	must.Nil(t, before)
	must.SliceEmpty(t, Compare(latest, before))
	_, _, err = Latest(all, "praha")
	must.ErrorIs(t, err, ErrNoScore)
}

// Guards against comparing a commit with itself when it was scored twice.
func TestLatestSkipsSameCommit(t *testing.T) {
	all, err := Read(writeJournal(t, earlier, later, later))
	must.NoError(t, err)
	latest, before, err := Latest(all, "cluj")
	must.NoError(t, err)
	must.EqOp(t, "e2", latest.ID)
	must.EqOp(t, "e0", before.ID)
}

// Guards against skipping an entry that can't be read without a word.
func TestUnreadableEntry(t *testing.T) {
	_, err := Read(writeJournal(t, `"days":3`))
	must.ErrorIs(t, err, ErrEntry)
}
