package feed

import (
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// queuedMessages bounds the messages that wait for a slow follower; it has to start again after that.
const queuedMessages = 256

// message is a part of the feed for followers.
type message struct {
	full         bool
	objects      []platform.Object
	at           uint64
	sinceContact time.Duration
}

// hub keeps the objects of a kind for followers. It is safe for concurrent use.
type hub struct {
	mu        sync.Mutex
	objects   map[string]platform.Object
	at        uint64
	contact   time.Time
	loaded    bool
	followers map[chan message]struct{}
}

func newHub() *hub {
	return &hub{objects: map[string]platform.Object{}, followers: map[chan message]struct{}{}}
}

func (h *hub) listed(objects []platform.Object, at uint64, sinceContact time.Duration, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.objects)
	for _, o := range objects {
		h.objects[o.Key] = o
	}
	h.at, h.contact, h.loaded = at, contact, true
	h.send(message{full: true, objects: objects, at: at, sinceContact: sinceContact})
}

func (h *hub) changed(changes []platform.Object, at uint64, contact time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range changes {
		if o.Deleted {
			delete(h.objects, o.Key)
		} else {
			h.objects[o.Key] = o
		}
	}
	h.at, h.contact = at, contact
	if len(changes) > 0 {
		h.send(message{objects: changes, at: at})
	}
}

// send passes the message to all followers. One that doesn't keep up is closed and has to start again.
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

// join returns all objects and a channel of what follows. It reports false if nothing has been read yet.
func (h *hub) join() (message, chan message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return message{}, nil, false
	}
	all := message{full: true, at: h.at}
	for _, o := range h.objects {
		all.objects = append(all.objects, o)
	}
	follower := make(chan message, queuedMessages)
	h.followers[follower] = struct{}{}
	return all, follower, true
}

func (h *hub) leave(follower chan message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, follower)
}

// age returns the revision that is known and the time since the last answer of the store.
func (h *hub) age() (uint64, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at, time.Since(h.contact)
}
