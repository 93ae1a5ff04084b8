package route

import (
	"strconv"

	"github.com/apex/log"
)

// Fields returns the fields of the decision's log line. considered lists the scored endpoints as VM:score in ms.
func (d *Decision) Fields() log.Fields {
	considered := make([]byte, 0, 24*len(d.Considered))
	for i, c := range d.Considered {
		if i > 0 {
			considered = append(considered, ' ')
		}
		considered = append(considered, c.VM...)
		considered = append(considered, ':')
		considered = strconv.AppendFloat(considered, c.Score, 'f', 1, 64)
	}
	return log.Fields{
		"request_id": d.RequestID, "organisation": d.Organisation, "class": d.Class, "pool": string(d.Pool),
		"candidates": d.Candidates, "considered": string(considered), "chosen": d.Chosen, "reason": string(d.Reason),
	}
}
