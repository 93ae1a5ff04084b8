package config

import (
	"cmp"
	"slices"
)

const (
	// maxPageEntries and maxPageBytes limit one page of an exchange.
	maxPageEntries = 4096
	maxPageBytes   = 512 << 10
	// maxPages limits the pages of one exchange, in case a peer always reports another page.
	maxPages = 1024
)

// Request asks a peer for one page of the entries that the asking router may be missing. Summary describes the asking
// router's store.
type Request struct {
	Summary
	// After is the revision of the last entry of the previous page; 0 in the first request.
	After uint64
	// Full accepts a complete answer even if the asking router has loaded a configuration.
	Full bool
}

// Page is one page of an answer. Entries are sorted by revision.
type Page struct {
	Summary
	Entries []Entry
	// More reports that another page follows.
	More bool
	// Complete reports that the pages together hold every object that is not deleted, so absent objects were deleted.
	Complete bool
	// Declined reports that a complete answer is needed and that the request did not accept one.
	Declined bool
}

// Answer returns one page of the entries that the asking router may be missing. A router has every change up to its
// floor, so the later changes are enough, provided that this store still has every tombstone above that floor.
// Otherwise a complete answer is needed. At 23,000 organisations it takes megabytes, so a router that has loaded a
// configuration tries other peers first.
//
// Equal hashes do not replace the exchange of later changes: a router that raised its floor because its objects equal
// a peer's would not have the tombstones of objects that it never stored, and could not send them to other peers.
func (s *Store) Answer(r Request) Page {
	s.mu.RLock()
	defer s.mu.RUnlock()
	page := Page{Summary: Summary{Hash: s.hash, Floor: s.floor, Loaded: s.loaded}}
	after := max(r.Floor, r.After)
	if !r.Loaded || r.Floor < s.droppedRevision {
		if r.Loaded && !r.Full {
			page.Declined = true
			return page
		}
		page.Complete = s.loaded
		after = r.After
	}
	if after >= s.newestRevision {
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

// pageLength returns how many entries fit in a page. Entries of equal revision are tombstones of objects that were
// absent from the same list. They stay on one page, because a request continues after a revision.
func pageLength(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		full := i >= maxPageEntries || size > maxPageBytes
		if full && i > 0 && entries[i-1].Revision != e.Revision {
			return i
		}
	}
	return len(entries)
}

// pullSession is one exchange at the asking router.
type pullSession struct {
	store *Store
	// initialSummary is the store's summary at the first request. The store's floor may rise to the peer's only if all
	// changes after the initial floor were received.
	initialSummary Summary
	full           bool
	entries        []Entry
	lastRevision   uint64
	// firstPage gives the floor of the whole exchange: a change that the peer merges between two pages may concern a
	// key of an earlier page.
	firstPage *Page
}

func (s *Store) newPullSession(full bool) *pullSession {
	return &pullSession{store: s, initialSummary: s.Summary(), full: full}
}

func (p *pullSession) request() Request {
	return Request{Summary: p.initialSummary, After: p.lastRevision, Full: p.full}
}

// handlePage merges a page of a difference, or collects a page of a complete answer, and reports whether another page
// must be requested. If the peer switches from a difference to a complete answer, entries are missing, so the floor is
// not raised.
func (p *pullSession) handlePage(page Page) bool {
	if p.firstPage == nil {
		p.firstPage = &page
	}
	if page.Complete != p.firstPage.Complete {
		p.store.Merge(page.Entries)
		return false
	}
	if len(page.Entries) > 0 {
		p.lastRevision = page.Entries[len(page.Entries)-1].Revision
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

func (p *pullSession) finish(lastPage Page) {
	switch {
	case lastPage.Declined:
	case lastPage.Complete:
		p.store.MergeComplete(p.entries, p.firstPage.Floor)
	case lastPage.Loaded && p.initialSummary.Loaded:
		p.store.Advance(nil, p.firstPage.Floor)
	}
}

// divergesFrom reports whether, after an exchange, this store differs from the peer's although both have the same
// floor and this store has no later change. This must not happen; a list from the platform repairs it.
func (s *Store) divergesFrom(peer Summary) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded && peer.Loaded && s.newestRevision <= peer.Floor && s.floor == peer.Floor && s.hash != peer.Hash
}
