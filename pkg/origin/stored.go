package origin

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// findStored returns where a stream began by what all routers wrote into the store.
func (r *Registry) findStored(ctx context.Context, id string) (b Began, ok bool) {
	r.listing.Lock()
	defer r.listing.Unlock()
	if err := r.listStreams(ctx); err != nil {
		r.Log.WithField("stream", id).WithError(err).Info("streams_not_listed")
		return Began{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st, ok := r.stored[id]
	return st.Began, ok
}

// listStreams lists all routers' streams, or returns the result of an attempt a short time ago, so that requests don't wait for one
// timeout after another. The first list adds those that an earlier process of this router wrote. r.listing must be held.
func (r *Registry) listStreams(ctx context.Context) error {
	if time.Since(r.triedAt) < listInterval {
		return r.listErr
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := r.Store.List(ctx, streamKind+"/")
	r.triedAt, r.listErr = time.Now(), err
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first := !r.listed
	r.stored, r.listed = map[string]stream{}, true
	for _, o := range objects {
		list, err := decodeStreams(now, o.Value)
		if err != nil {
			r.Log.WithField("key", o.Key).WithError(err).Warn("streams_unreadable")
			continue
		}
		for _, st := range list {
			r.stored[st.id] = st
			if _, known := r.streams.byID[st.id]; first && !known && o.Key == r.object.Key {
				r.streams.add(now, st)
			}
		}
	}
	return nil
}

// onlyByRecord returns the only version of a service if its record says that it has had no other one for MaxStreamAge.
func (r *Registry) onlyByRecord(ctx context.Context, name string) (string, bool) {
	r.mu.Lock()
	software, single := r.service(name).only()
	read := r.service(name).read
	r.mu.Unlock()
	if !single {
		return "", false
	}
	if !read {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		r.readRecord(ctx, name)
	}
	// What was read may have set the time from which the service has had its version.
	r.mu.Lock()
	defer r.mu.Unlock()
	current, settled := r.service(name).settled(time.Now())
	return software, settled && current == software
}

// readRecord reads the record of a service once and adopts its time if it confirms what this router sees.
func (r *Registry) readRecord(ctx context.Context, name string) {
	object, err := r.Store.Get(ctx, Kind+"/"+name)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	stored := record{Mixed: true}
	if err == nil && object.Revision > 0 {
		stored, err = decodeRecord(object.Value)
	}
	if err != nil {
		r.Log.WithField("service", name).WithError(err).Info("software_record_not_read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.read, s.stored = true, stored
	software, single := s.only()
	age := stored.age(time.Now())
	if single && !s.replaced && stored.confirms(software, object.Revision) && age > time.Since(s.since) {
		s.since = time.Now().Add(-age)
		r.Log.WithFields(log.Fields{"service": name, "software": software, "age_ms": age.Milliseconds()}).Info("software_record_confirms")
	}
}

// runStreams writes this router's streams of services with several versions, so that they outlive a power failure of all routers.
func (r *Registry) runStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.begun:
		}
		if err := r.writeStreams(ctx); err != nil {
			r.Log.WithError(err).Info("streams_not_written")
			signal(r.begun)
		}
		if !sleep.For(ctx, storeInterval*time.Duration(1+r.Routers()/smallFleet)) {
			return
		}
	}
}

func (r *Registry) writeStreams(ctx context.Context) error {
	if err := r.listOnce(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	now := time.Now()
	list := r.streams.own(now, r.isToldOthers, maxStored)
	r.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	return r.object.Write(ctx, encodeStreams(list))
}

// listOnce lists the streams unless they have been listed before: a write must keep those of an earlier process.
func (r *Registry) listOnce(ctx context.Context) error {
	r.listing.Lock()
	defer r.listing.Unlock()
	if r.listed {
		return nil
	}
	return r.listStreams(ctx)
}

// runRecords writes the records after each change, and again if a write failed or the store has come back from an older copy.
func (r *Registry) runRecords(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.changed:
		}
		r.writeRecords(ctx)
	}
}

// writeRecords writes the records of the services for which this router is the first and the store lacks what it knows.
func (r *Registry) writeRecords(ctx context.Context) {
	for name, next := range r.recordsToWrite(ctx) {
		r.mu.Lock()
		object := r.service(name).object
		r.mu.Unlock()
		if err := object.Write(ctx, next.encode()); err != nil {
			r.Log.WithField("service", name).WithError(err).Warn("software_record_not_written")
			continue
		}
		r.mu.Lock()
		r.service(name).stored = next
		r.mu.Unlock()
		r.Log.WithFields(log.Fields{"service": name, "only": next.Only, "mixed": next.Mixed, "era": next.Era}).Info("software_record_written")
	}
}

func (r *Registry) recordsToWrite(ctx context.Context) map[string]record {
	r.mu.Lock()
	var names []string
	for name, s := range r.services {
		if len(s.current) > 0 && r.IsFirst(Kind+"/"+name) {
			names = append(names, name)
		}
	}
	r.mu.Unlock()
	found := map[string]record{}
	for _, name := range names {
		r.mu.Lock()
		read := r.service(name).read
		r.mu.Unlock()
		if !read {
			r.readRecord(ctx, name)
		}
		r.mu.Lock()
		s := r.service(name)
		next := record{SinceMS: time.Now().Add(-time.Since(s.since)).UnixMilli(), Era: r.era}
		var single bool
		next.Only, single = s.only()
		next.Mixed = !single
		if s.read && (next.Only != s.stored.Only || next.Mixed != s.stored.Mixed || next.Era != s.stored.Era) {
			found[name] = next
		}
		r.mu.Unlock()
	}
	return found
}
