package roster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a router that uses its share while others may not know its record: just after its start, after a restore of the store, and
// after a time in which it could not renew the record, so that it was or soon will be deleted.
func TestTenure(t *testing.T) {
	const retention = time.Minute
	start := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n tenure
	must.False(t, n.isSettled(at(100), 0, retention), must.Sprint("not written yet"))
	for s := 0.0; s <= 20; s += 2 {
		n.acknowledged(at(s), at(s), 0, retention)
	}
	settle := shareSettleTime.Seconds()
	must.False(t, n.isSettled(at(settle-0.1), 0, retention))
	must.True(t, n.isSettled(at(settle), 0, retention))
	must.False(t, n.isSettled(at(21), 1, retention), must.Sprint("the records are from a later era"))
	must.True(t, n.isSettled(at(49), 0, retention))
	must.False(t, n.isSettled(at(50), 0, retention), must.Sprint("not renewed for half of the retention"))
	n.acknowledged(at(70), at(70), 0, retention)
	must.False(t, n.isSettled(at(71), 0, retention), must.Sprint("the record may have been deleted and written again"))
	must.True(t, n.isSettled(at(70+settle), 0, retention))
	n.acknowledged(at(82), at(82), 1, retention)
	must.False(t, n.isSettled(at(83), 1, retention), must.Sprint("routers that have started since the restore may not know it"))
	must.True(t, n.isSettled(at(82+settle), 1, retention))
}
