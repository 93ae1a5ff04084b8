package engine

import (
	"encoding/base64"
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// maxKV bounds the ended requests whose KV cache can be exported, and the imported ones that wait for their request.
const maxKV = 256

// KVExport answers PathKVExport and is the body of PathKVImport.
type KVExport struct {
	// Blob is opaque.
	Blob string `json:"blob"`
}

// kvEntry is the KV cache of one request.
type kvEntry struct {
	RequestID string `json:"request_id"`
	// Answer identifies the prompt.
	Answer uint64 `json:"answer"`
	// Tokens is the number of output tokens that the entry covers.
	Tokens int `json:"tokens"`
	// Check is a checksum of the other fields.
	Check uint64 `json:"check"`
}

func (k kvEntry) checksum() uint64 {
	k.Check = 0
	return xxhash.Sum64(marshal(k))
}

// kvStore holds the exportable and the imported entries.
type kvStore struct {
	ended    kvTable
	imported kvTable
}

// kvTable is a map that forgets its oldest entries.
type kvTable struct {
	entries map[string]kvEntry
	order   []string
}

func newKVStore() kvStore {
	return kvStore{ended: kvTable{entries: map[string]kvEntry{}}, imported: kvTable{entries: map[string]kvEntry{}}}
}

func (t *kvTable) put(entry kvEntry) {
	if _, known := t.entries[entry.RequestID]; !known {
		t.order = append(t.order, entry.RequestID)
	}
	t.entries[entry.RequestID] = entry
	for len(t.order) > maxKV {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

func entryOf(r *Run) kvEntry {
	return kvEntry{RequestID: r.request.RequestID, Answer: r.answer.hash, Tokens: r.next}
}

func (k *kvStore) finished(r *Run) {
	if r.next >= 0 {
		k.ended.put(entryOf(r))
	}
}

// take returns how many output tokens the imported entry for the run covers, and uses the entry up.
func (k *kvStore) take(r *Run) (int, bool) {
	entry, ok := k.imported.entries[r.request.RequestID]
	if !ok || entry.Answer != r.answer.hash {
		return 0, false
	}
	delete(k.imported.entries, entry.RequestID)
	return entry.Tokens, true
}

// ExportKV returns the KV cache of a request that runs or has ended lately.
func (e *Engine) ExportKV(requestID string) (KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.kv.ended.entries[requestID]
	for _, r := range e.runs[requestID] {
		if r.next >= 0 {
			entry, ok = entryOf(r), true
		}
	}
	if !ok {
		return KVExport{}, refuse(http.StatusNotFound, "request_id: no KV cache of %q", requestID)
	}
	entry.Check = entry.checksum()
	return KVExport{Blob: base64.StdEncoding.EncodeToString(marshal(entry))}, nil
}

// ImportKV keeps a KV cache for the request that resumes with it.
func (e *Engine) ImportKV(export KVExport) error {
	raw, err := base64.StdEncoding.DecodeString(export.Blob)
	if err != nil {
		return refuse(http.StatusBadRequest, "blob: %v", err)
	}
	var entry kvEntry
	if err := json.Unmarshal(raw, &entry); err != nil {
		return refuse(http.StatusBadRequest, "blob: %v", err)
	}
	if entry.Check != entry.checksum() || entry.Tokens < 0 {
		return refuse(http.StatusBadRequest, "blob: wrong checksum")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.imported.put(entry)
	return nil
}
