package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
	// silent is set while the store takes calls and never answers them.
	silent   bool
	listener net.Listener
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func startStore() (*store, error) {
	s := &store{revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(s.listener, s) }() // It serves until the process ends.
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// commit records a change and wakes the watches. s.mu must be held.
func (s *store) commit(kind string, o object, deleted bool) {
	s.history = append(s.history, change{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an object as the operator or an engine does, and returns the time of the confirmation.
func (s *store) set(kind, name string, spec any) time.Time {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("encode %s/%s: %v", kind, name, err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, value)
	return time.Now()
}

// write creates or replaces an object. s.mu must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.commit(kind, *o, false)
	return *o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		// The call is never answered, also after the store is back, until its client gives it up.
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, kind)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name, q.Get("revision"))
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries := []object{}
	for _, o := range s.objects[kind] {
		entries = append(entries, *o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		at, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			silent = s.silent
			s.mu.Unlock()
			if silent {
				<-r.Context().Done()
				return
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && current != nil, current != nil && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && current == nil:
		reply(w, http.StatusNotFound, struct{}{})
	default:
		reply(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Spec))
	}
}

func (s *store) remove(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case o == nil:
		reply(w, http.StatusNotFound, struct{}{})
	case revision != "" && revision != strconv.FormatUint(o.Metadata.Revision, 10):
		reply(w, http.StatusConflict, o)
	default:
		s.revision++
		delete(s.objects[kind], name)
		s.commit(kind, *o, true)
		reply(w, http.StatusOK, struct{}{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode a reply: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // The client may have gone.
}
