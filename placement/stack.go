package placement

import "sync/atomic"

// stack is a lock-free stack of idle leases. Nodes are never reused, so a
// compare-and-swap cannot mistake a new node for an old one.
type stack struct {
	top atomic.Pointer[node]
}

type node struct {
	slot *LeasedSlot
	next *node
}

func (s *stack) push(slot *LeasedSlot) {
	n := &node{slot: slot}
	for {
		n.next = s.top.Load()
		if s.top.CompareAndSwap(n.next, n) {
			return
		}
	}
}

// pop removes and returns the newest lease, or nil.
func (s *stack) pop() *LeasedSlot {
	for {
		n := s.top.Load()
		if n == nil {
			return nil
		}
		if s.top.CompareAndSwap(n, n.next) {
			return n.slot
		}
	}
}

// takeAll empties the stack and returns its leases, newest first.
func (s *stack) takeAll() []*LeasedSlot {
	var out []*LeasedSlot
	for n := s.top.Swap(nil); n != nil; n = n.next {
		out = append(out, n.slot)
	}
	return out
}
