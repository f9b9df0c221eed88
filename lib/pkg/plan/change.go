package plan

import (
	"context"
	"time"
)

// Topic is a kind of declarations that is followed.
type Topic string

// Topics.
const (
	TopicConfig   Topic = "config"
	TopicBackends Topic = "backends"
	TopicDrains   Topic = "drains"
	TopicMembers  Topic = "members"
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicConfig, TopicBackends, TopicDrains, TopicMembers} }

// Resource is what is declared under a name.
type Resource interface{ item() }

// Drained declares that a data centre gets no work.
type Drained struct{}

// Member declares a host of the system.
type Member struct {
	Name string `json:"name"`
	IP   string `json:"ip"`
}

// Removed says that a declaration was removed.
type Removed struct{}

// Unreadable says that a declaration could not be read.
type Unreadable struct{ Err error }

func (*Config) item()     {}
func (BackendSpec) item() {}
func (Drained) item()     {}
func (Member) item()      {}
func (Removed) item()     {}
func (Unreadable) item()  {}

// Change is a declaration as of a revision.
type Change struct {
	Name     string
	Revision uint64
	Resource Resource
}

// Listing is all declarations of a topic, or those that changed, as of a revision.
type Listing struct {
	Revision uint64
	Changes  []Change
}

// Store is where declarations are kept.
type Store interface {
	// List returns all declarations of a topic. The present time dates what is declared as time left.
	List(ctx context.Context, now time.Time, topic Topic) (Listing, error)
	// Watch returns what changed after a revision, or nothing once wait has passed.
	Watch(ctx context.Context, topic Topic, since uint64, wait time.Duration) (Listing, error)
	// Revision returns the revision of the last change of anything.
	Revision(ctx context.Context) (uint64, error)
	// RegisterMember declares a host of the system.
	RegisterMember(ctx context.Context, m Member) error
	// CloseIdleConnections gives up open connections, which may have gone silent.
	CloseIdleConnections()
}
