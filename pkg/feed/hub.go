package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	feedv1 "github.com/lavendershunt/lavendershunt/api/ls/feed/v1"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxQueuedMessages bounds the messages that wait for a slow follower. A follower that exceeds it has to call Follow
// again.
const maxQueuedMessages = 256

// message is sent to followers: all objects if full is set, otherwise changes.
type message struct {
	full         bool
	objects      []*feedv1.Object
	revision     uint64
	sinceContact time.Duration
}

// heldObject is an object with the form in which followers get it, which is encoded when the first follower needs it.
type heldObject struct {
	platform.Object
	wire *feedv1.Object
}

func (h *heldObject) encoded() *feedv1.Object {
	if h.wire == nil {
		h.wire = encodeObject(h.Object)
	}
	return h.wire
}

// hub holds the current objects of a kind and sends changes to followers. It is safe for concurrent use.
type hub struct {
	mu       sync.Mutex
	objects  map[string]*heldObject
	revision uint64
	contact  time.Time
	loaded   bool
	// refusing is set while the router itself follows a substitute, so that no two routers follow each other.
	refusing  bool
	followers map[chan message]struct{}
}

func newHub() *hub {
	return &hub{objects: map[string]*heldObject{}, followers: map[chan message]struct{}{}}
}

func (h *hub) replaceAll(objects []platform.Object, revision uint64, sinceContact time.Duration, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.objects)
	changed := make([]*heldObject, len(objects))
	for i, o := range objects {
		changed[i] = &heldObject{Object: o}
		h.objects[o.Key] = changed[i]
	}
	h.revision, h.contact, h.loaded = revision, contact, true
	h.send(message{full: true, revision: revision, sinceContact: sinceContact}, changed)
}

func (h *hub) applyChanges(changes []platform.Object, revision uint64, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := make([]*heldObject, len(changes))
	for i, o := range changes {
		changed[i] = &heldObject{Object: o}
		if o.Deleted {
			delete(h.objects, o.Key)
		} else {
			h.objects[o.Key] = changed[i]
		}
	}
	h.revision, h.contact = revision, contact
	if len(changes) > 0 {
		h.send(message{revision: revision}, changed)
	}
}

// send queues the message with the objects for all followers. It closes the channel of a follower whose queue is full,
// which then has to call Follow again. The caller holds h.mu.
func (h *hub) send(m message, objects []*heldObject) {
	if len(h.followers) == 0 {
		return
	}
	for _, o := range objects {
		m.objects = append(m.objects, o.encoded())
	}
	for follower := range h.followers {
		select {
		case follower <- m:
		default:
			delete(h.followers, follower)
			close(follower)
		}
	}
}

// subscribe returns all objects and a channel of the messages after them. It returns false if no list has been read
// yet, and while the hub is refusing.
func (h *hub) subscribe() (message, chan message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || h.refusing {
		return message{}, nil, false
	}
	all := message{full: true, revision: h.revision}
	for _, o := range h.objects {
		all.objects = append(all.objects, o.encoded())
	}
	follower := make(chan message, maxQueuedMessages)
	h.followers[follower] = struct{}{}
	return all, follower, true
}

// setRefusing ends all followers and takes no others while refusing is set.
func (h *hub) setRefusing(refusing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusing = refusing
	if !refusing {
		return
	}
	for follower := range h.followers {
		delete(h.followers, follower)
		close(follower)
	}
}

// heartbeat returns a message without objects for the follower. It returns false while changes are queued for the follower: a heartbeat
// ahead of them would have a revision that includes them, and the follower would take them for known.
func (h *hub) heartbeat(follower chan message) (message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return message{revision: h.revision}, len(follower) == 0
}

// next waits for the next message to the follower: changes, or a heartbeat at a tick, unless ok is false. open is false once the
// follower was too slow or was ended by setRefusing.
func (h *hub) next(ctx context.Context, follower chan message, ticks <-chan time.Time) (m message, ok, open bool) {
	select {
	case <-ctx.Done():
		return message{}, false, true
	case m, open = <-follower:
		return m, open, open
	case <-ticks:
		m, ok = h.heartbeat(follower)
		return m, ok, true
	}
}

func (h *hub) unsubscribe(follower chan message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, follower)
}

// changesTo returns the changes from the current objects to those of a list. An object of the list that is older than
// the current one is no change.
func (h *hub) changesTo(list []platform.Object) []platform.Object {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(list))
	var changes []platform.Object
	for _, o := range list {
		listed[o.Key] = true
		if current := h.objects[o.Key]; current == nil || current.Revision < o.Revision {
			changes = append(changes, o)
		}
	}
	for key, current := range h.objects {
		if !listed[key] {
			changes = append(changes, platform.Object{Key: key, Revision: current.Revision, Deleted: true})
		}
	}
	return changes
}

// newerThanHeld returns the changes without those that are older than the current objects.
func (h *hub) newerThanHeld(changes []platform.Object) []platform.Object {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(changes, func(o platform.Object) bool {
		current := h.objects[o.Key]
		return current != nil && current.Revision > o.Revision
	})
}

// revisionAndAge returns the revision of the objects and the time since the last answer of the store.
func (h *hub) revisionAndAge() (uint64, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, time.Since(h.contact)
}

// loadedRevision returns the revision of the objects, and false if no list has been read yet.
func (h *hub) loadedRevision() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, h.loaded
}

// age returns the time since the last answer of the store, and false if no list has been read yet.
func (h *hub) age() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.contact), h.loaded
}
