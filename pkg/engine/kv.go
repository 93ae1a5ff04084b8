package engine

import (
	"encoding/base64"
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// maxKVEntries is the largest number of KV caches kept of ended requests, and of imported ones that no request has used
// yet.
const maxKVEntries = 256

// KVExport is the response body of PathKVExport and the request body of PathKVImport.
type KVExport struct {
	// Blob is the encoded KV cache, opaque to callers.
	Blob string `json:"blob"`
}

// kvEntry is the KV cache of one request.
type kvEntry struct {
	RequestID string `json:"request_id"`
	// Answer is the hash of the answer, which identifies the prompt.
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

// kvStore holds the entries of ended requests, for export, and the imported entries.
type kvStore struct {
	ended    kvTable
	imported kvTable
}

// kvTable is a map that evicts its oldest entries beyond maxKVEntries.
type kvTable struct {
	entries map[string]kvEntry
	order   []string
}

func newKVStore() kvStore {
	return kvStore{ended: kvTable{entries: map[string]kvEntry{}}, imported: kvTable{entries: map[string]kvEntry{}}}
}

func (t *kvTable) put(entry kvEntry) {
	if _, exists := t.entries[entry.RequestID]; !exists {
		t.order = append(t.order, entry.RequestID)
	}
	t.entries[entry.RequestID] = entry
	for len(t.order) > maxKVEntries {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

func newKVEntry(r *Run) kvEntry {
	return kvEntry{RequestID: r.request.RequestID, Answer: r.answer.hash, Tokens: r.nextToken}
}

func (k *kvStore) addEnded(r *Run) {
	if r.nextToken >= 0 {
		k.ended.put(newKVEntry(r))
	}
}

// consumeImported removes the imported entry for the run and returns the number of output tokens that it covers.
func (k *kvStore) consumeImported(r *Run) (int, bool) {
	entry, ok := k.imported.entries[r.request.RequestID]
	if !ok || entry.Answer != r.answer.hash {
		return 0, false
	}
	delete(k.imported.entries, entry.RequestID)
	return entry.Tokens, true
}

// ExportKV returns the KV cache of a request that is running or among the last maxKVEntries ended ones.
func (e *Engine) ExportKV(requestID string) (KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.kv.ended.entries[requestID]
	for _, r := range e.runs[requestID] {
		if r.nextToken >= 0 {
			entry, ok = newKVEntry(r), true
		}
	}
	if !ok {
		return KVExport{}, refuse(http.StatusNotFound, "request_id: no KV cache of %q", requestID)
	}
	entry.Check = entry.checksum()
	return KVExport{Blob: base64.StdEncoding.EncodeToString(marshal(entry))}, nil
}

// ImportKV stores a KV cache for the request that will resume from it.
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
