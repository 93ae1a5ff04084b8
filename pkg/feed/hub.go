package feed

import (
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxQueuedMessages bounds the messages that wait for a slow follower. A follower that exceeds it has to call Follow
// again.
const maxQueuedMessages = 256

// message is sent to followers: all objects if full is set, otherwise changes.
type message struct {
	full         bool
	objects      []platform.Object
	revision     uint64
	sinceContact time.Duration
}

// hub holds the current objects of a kind and sends changes to followers. It is safe for concurrent use.
type hub struct {
	mu        sync.Mutex
	objects   map[string]platform.Object
	revision  uint64
	contact   time.Time
	loaded    bool
	followers map[chan message]struct{}
}

func newHub() *hub {
	return &hub{objects: map[string]platform.Object{}, followers: map[chan message]struct{}{}}
}

func (h *hub) replaceAll(objects []platform.Object, revision uint64, sinceContact time.Duration, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.objects)
	for _, o := range objects {
		h.objects[o.Key] = o
	}
	h.revision, h.contact, h.loaded = revision, contact, true
	h.send(message{full: true, objects: objects, revision: revision, sinceContact: sinceContact})
}

func (h *hub) applyChanges(changes []platform.Object, revision uint64, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range changes {
		if o.Deleted {
			delete(h.objects, o.Key)
		} else {
			h.objects[o.Key] = o
		}
	}
	h.revision, h.contact = revision, contact
	if len(changes) > 0 {
		h.send(message{objects: changes, revision: revision})
	}
}

// send queues the message for all followers. It closes the channel of a follower whose queue is full, which then has
// to call Follow again. The caller holds h.mu.
func (h *hub) send(m message) {
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
// yet.
func (h *hub) subscribe() (message, chan message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return message{}, nil, false
	}
	all := message{full: true, revision: h.revision}
	for _, o := range h.objects {
		all.objects = append(all.objects, o)
	}
	follower := make(chan message, maxQueuedMessages)
	h.followers[follower] = struct{}{}
	return all, follower, true
}

func (h *hub) unsubscribe(follower chan message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, follower)
}

// revisionAndAge returns the revision of the objects and the time since the last answer of the store.
func (h *hub) revisionAndAge() (uint64, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, time.Since(h.contact)
}
