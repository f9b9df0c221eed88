package queue

import "container/heap"

// ticketHeap orders tickets by deadline, and by arrival where deadlines are equal.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].id < h[j].id
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t, ok := x.(*Ticket)
	if !ok {
		return
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

func (h *ticketHeap) add(t *Ticket) {
	t.heap = h
	heap.Push(h, t)
}

func (h *ticketHeap) first() *Ticket {
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

func (h *ticketHeap) pop() *Ticket {
	t, _ := heap.Pop(h).(*Ticket)
	return t
}

func (h *ticketHeap) remove(t *Ticket) { heap.Remove(h, t.index) }
