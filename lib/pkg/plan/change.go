package plan

import (
	"context"
	"slices"
	"time"
)

// Topic is a type of resource that is listed and watched as a unit.
type Topic string

// Topics of the store.
const (
	TopicConfig   Topic = "config"
	TopicBackends Topic = "backends"
	TopicDrains   Topic = "drains"
	TopicMembers  Topic = "members"
)

// Topics returns all topics; hosts that exchange a revision for each topic rely on the order.
func Topics() []Topic { return []Topic{TopicConfig, TopicBackends, TopicDrains, TopicMembers} }

// Resource is the decoded content of a named entry in the store.
type Resource interface{ isResource() }

// Drained marks a data centre as drained: it gets no new requests.
type Drained struct{}

// Member is a host of the system.
type Member struct {
	Name string `json:"name"`
	IP   string `json:"ip"`
}

// Removed marks a resource that was deleted from the store.
type Removed struct {
	// HoldUntil is until when a backend server stays in use without its entry, because the entry may only have expired during an
	// outage of the store; zero means that it does not.
	HoldUntil time.Time
}

// Unreadable stands for a resource that could not be decoded.
type Unreadable struct{ Err error }

func (*Config) isResource()     {}
func (BackendSpec) isResource() {}
func (Drained) isResource()     {}
func (Member) isResource()      {}
func (Removed) isResource()     {}
func (Unreadable) isResource()  {}

// Change is the state of one resource as of a revision.
type Change struct {
	Name     string
	Revision uint64
	Resource Resource
}

// Via is the way by which a host learned of changes.
type Via string

// Ways of learning of changes.
const (
	// ViaList and ViaWatch are calls to the store.
	ViaList  Via = "list"
	ViaWatch Via = "watch"
	// ViaDelta is a heartbeat of a peer that held the changes, ViaPull the response of a peer to a pull.
	ViaDelta Via = "delta"
	ViaPull  Via = "pull"
)

// Origin tells from where a listing came.
type Origin struct {
	Via Via
	// Peer is the address of the host that sent the listing; empty means the store.
	Peer string
	// Age is the time since a watcher read the changes from the store, if the peer reports it.
	Age time.Duration
}

// FromPeer reports whether another host sent the listing.
func (o Origin) FromPeer() bool { return o.Via == ViaDelta || o.Via == ViaPull }

// Listing is the result of a list or a watch: all resources of a topic, or only the changed ones, as of a revision.
type Listing struct {
	Revision uint64
	Changes  []Change
	Origin   Origin
}

// Apply applies the changes that a watch from the listing's revision returned. Of a listing that was read in several parts while resources
// changed, the result is exact as of the watch's revision.
func (l *Listing) Apply(watched Listing) {
	index := make(map[string]int, len(l.Changes))
	for i, c := range l.Changes {
		index[c.Name] = i
	}
	for _, c := range watched.Changes {
		i, found := index[c.Name]
		switch {
		case !found:
			index[c.Name] = len(l.Changes)
			l.Changes = append(l.Changes, c)
		case l.Changes[i].Revision <= c.Revision:
			l.Changes[i] = c
		}
	}
	l.Changes = slices.DeleteFunc(l.Changes, func(c Change) bool {
		_, removed := c.Resource.(Removed)
		return removed
	})
	l.Revision = max(l.Revision, watched.Revision)
}

// Store is a client of the store that holds the resources.
type Store interface {
	// List returns all resources of a topic. It is called at now. Durations in a resource are converted to points in time
	// relative to the time of the response.
	List(ctx context.Context, now time.Time, topic Topic) (Listing, error)
	// Watch returns the changes after a revision, or an empty listing if there are none within wait.
	Watch(ctx context.Context, topic Topic, since uint64, wait time.Duration) (Listing, error)
	// Revision returns the revision of the store's last change in any topic.
	Revision(ctx context.Context) (uint64, error)
	// RegisterMember creates or replaces the entry of a host of the system.
	RegisterMember(ctx context.Context, m Member) error
	// CloseIdleConnections closes pooled connections, which may no longer reach the store.
	CloseIdleConnections()
}
