package poison

import (
	"encoding/json"
	"fmt"
	"time"
)

// storedRecords is the value of a router's object in the store.
type storedRecords struct {
	Records []storedRecord `json:"records"`
}

type storedRecord struct {
	Organisation string `json:"organisation,omitempty"`
	Hash         uint64 `json:"hash,string"`
	Depth        int    `json:"depth,omitempty"`
	Label        string `json:"label,omitempty"`
	// ClearedMS is in Unix milliseconds, 0 if the record was never cleared.
	ClearedMS int64         `json:"cleared_ms,omitempty"`
	Crashes   []storedCrash `json:"crashes"`
}

type storedCrash struct {
	Run      string `json:"run"`
	Observer string `json:"observer"`
	// AtMS is in Unix milliseconds.
	AtMS    int64  `json:"at_ms"`
	Request uint64 `json:"request,omitempty,string"`
	Begun   bool   `json:"begun,omitempty"`
}

func encodeRecords(records []Record) ([]byte, error) {
	stored := storedRecords{Records: make([]storedRecord, 0, len(records))}
	for _, r := range records {
		s := storedRecord{Organisation: r.Fingerprint.Organisation, Hash: r.Fingerprint.BodyHash, Depth: r.Depth, Label: r.Label}
		if !r.ClearedAt.IsZero() {
			s.ClearedMS = r.ClearedAt.UnixMilli()
		}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, storedCrash{Run: c.VM, Observer: c.Observer, AtMS: c.At.UnixMilli(), Request: c.Request, Begun: c.Begun})
		}
		stored.Records = append(stored.Records, s)
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("poison: encode crash records: %w", err)
	}
	return value, nil
}

func decodeRecords(value []byte) ([]Record, error) {
	var stored storedRecords
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("poison: decode crash records: %w", err)
	}
	records := make([]Record, 0, len(stored.Records))
	for _, s := range stored.Records {
		r := Record{Fingerprint: Fingerprint{Organisation: s.Organisation, BodyHash: s.Hash}, Depth: s.Depth, Label: s.Label}
		if s.ClearedMS != 0 {
			r.ClearedAt = time.UnixMilli(s.ClearedMS)
		}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, Crash{VM: c.Run, Observer: c.Observer, At: time.UnixMilli(c.AtMS), Request: c.Request, Begun: c.Begun})
		}
		records = append(records, r)
	}
	return records, nil
}
