package raftgroup

import "sync/atomic"

const (
	inboxSize  = 1024     // queued messages; further ones are dropped, and the sender repeats them
	inboxBytes = 16 << 20 // of those messages; a message that is alone is queued whatever its size
)

// inbox queues the messages of other members, safe for concurrent use.
type inbox struct {
	messages chan []byte // receivers call taken for each message
	size     atomic.Int64
}

func newInbox() *inbox { return &inbox{messages: make(chan []byte, inboxSize)} }

// put queues a message, or returns false if there is no room for it.
func (b *inbox) put(raw []byte) bool {
	size := int64(len(raw))
	if total := b.size.Add(size); total > inboxBytes && total > size {
		b.size.Add(-size)
		return false
	}
	select {
	case b.messages <- raw:
		return true
	default:
		b.size.Add(-size)
		return false
	}
}

// taken makes the room of a received message free again and returns the message.
func (b *inbox) taken(raw []byte) []byte {
	b.size.Add(-int64(len(raw)))
	return raw
}
