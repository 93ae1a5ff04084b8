package config

import (
	"cmp"
	"slices"
)

const (
	// pageEntries and pageBytes bound one page of an exchange.
	pageEntries = 4096
	pageBytes   = 512 << 10
	// maxPages bounds the pages of one exchange, as a guard against a peer that never ends.
	maxPages = 1024
)

// Request describes the state of a router that asks another one for what it may lack.
type Request struct {
	Summary
	// After is the revision of the last entry of the previous page.
	After uint64
	// Full accepts a complete answer although the router is loaded.
	Full bool
}

// Page is one page of an answer. Entries are in order of revision.
type Page struct {
	Summary
	Entries []Entry
	// More reports that another page follows.
	More bool
	// Complete reports that the pages together hold every live entry, so absent ones were deleted.
	Complete bool
	// Declined reports that only a complete answer would help and that the router did not accept one.
	Declined bool
}

// Answer returns what the asking router may lack. A router that knows every change up to its floor needs the later
// ones only, as long as no tombstone above its floor may be missing here. Otherwise a complete answer is needed; at
// 23,000 organisations it takes megabytes, so a loaded router first tries other peers.
//
// Equal hashes do not replace the exchange of later changes: a router that raised its floor because its objects equal
// a peer's would not have the tombstones of objects that it never knew, and could not pass them on.
func (s *Store) Answer(r Request) Page {
	s.mu.RLock()
	defer s.mu.RUnlock()
	page := Page{Summary: Summary{Hash: s.hash, Floor: s.floor, Loaded: s.loaded}}
	after := max(r.Floor, r.After)
	if !r.Loaded || r.Floor < s.dropped {
		if r.Loaded && !r.Full {
			page.Declined = true
			return page
		}
		page.Complete = s.loaded
		after = r.After
	}
	if after >= s.newest {
		return page
	}
	for key, record := range s.records {
		if record.revision > after {
			page.Entries = append(page.Entries, Entry{Key: key, Revision: record.revision, Value: record.value, Deleted: record.deleted})
		}
	}
	slices.SortFunc(page.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	if n := pageLength(page.Entries); n < len(page.Entries) {
		page.Entries, page.More = page.Entries[:n], true
	}
	return page
}

// pageLength returns how many entries fit in a page. Entries of equal revision, which are tombstones that one list
// revealed, stay together, because a page begins after a revision.
func pageLength(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		full := i >= pageEntries || size > pageBytes
		if full && i > 0 && entries[i-1].Revision != e.Revision {
			return i
		}
	}
	return len(entries)
}

// pull is the state of an exchange at the asking router.
type pull struct {
	store *Store
	// asked is the summary at the first request. The floor may rise to the peer's only if all changes after this one
	// were received.
	asked   Summary
	full    bool
	entries []Entry
	last    uint64
	// first is the first page. Its floor holds for the whole exchange: what the peer learns between two pages may
	// concern a key of an earlier page.
	first *Page
}

func (s *Store) newPull(full bool) *pull {
	return &pull{store: s, asked: s.Summary(), full: full}
}

func (p *pull) request() Request {
	return Request{Summary: p.asked, After: p.last, Full: p.full}
}

// receive takes over a page and reports whether another one must be asked for. An exchange that the peer turned from
// a difference into a complete one has holes, so it does not raise the floor.
func (p *pull) receive(page Page) bool {
	if p.first == nil {
		p.first = &page
	}
	if page.Complete != p.first.Complete {
		p.store.Merge(page.Entries)
		return false
	}
	if len(page.Entries) > 0 {
		p.last = page.Entries[len(page.Entries)-1].Revision
	}
	if page.Complete {
		p.entries = append(p.entries, page.Entries...)
	} else {
		p.store.Merge(page.Entries)
	}
	if page.More {
		return true
	}
	p.finish(page)
	return false
}

func (p *pull) finish(last Page) {
	switch {
	case last.Declined:
	case last.Complete:
		p.store.MergeComplete(p.entries, p.first.Floor)
	case last.Loaded && p.asked.Loaded:
		p.store.Advance(nil, p.first.Floor)
	}
}

// diverges reports whether this store still differs from a peer although neither knows a change that the other may
// not know yet. This must not happen; a list from the platform repairs it.
func (s *Store) diverges(peer Summary) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded && peer.Loaded && s.newest <= peer.Floor && s.floor == peer.Floor && s.hash != peer.Hash
}
