package pick

import (
	"slices"
	"time"
)

// Limits and rates of the queue.
const (
	// maxDispatchScan bounds how many queued requests are examined when a slot may have become free.
	maxDispatchScan = 48
	// sendRateWindow is the time over which a send fades out of the rate.
	sendRateWindow = time.Second
	// minSendRate is the lowest assumed rate of sends, in requests a second.
	minSendRate = 2
	// minRetryAfter and maxRetryAfter bound the delay after which a rejected caller is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// recordSend adds a send to the rate.
func (s *service) recordSend(now time.Time) {
	s.sendRate = s.sendRateNow(now) + 1/sendRateWindow.Seconds()
	s.sendRateAt = now
}

// sendRateNow returns the rate of sends, in requests a second, with older sends faded out linearly.
func (s *service) sendRateNow(now time.Time) float64 {
	age := now.Sub(s.sendRateAt)
	if age >= 2*sendRateWindow {
		return 0
	}
	return s.sendRate * max(0, 1-age.Seconds()/sendRateWindow.Seconds())
}

// queueWait returns how long it takes to send n queued requests at the present rate.
func (s *service) queueWait(now time.Time, n int) time.Duration {
	return time.Duration(float64(n) / max(minSendRate, s.sendRateNow(now)) * float64(time.Second))
}

// minWorkTime returns the shortest service time that is expected: half the mean for warm objects.
func (s *service) minWorkTime() time.Duration { return s.warmTime.value(defaultWarmTime) / 2 }

// overloaded reports whether a request would wait for too long, and if so, after which delay the caller may retry.
func (t *Table) overloaded(now time.Time, s *service, q *Query, c candidate, ok bool) (time.Duration, bool) {
	wait, work := s.queueWait(now, s.ahead(q)), c.work
	if !ok {
		// No backend server is eligible yet: c has only the time until one is.
		wait, work = max(wait, c.wait), s.warmTime.value(defaultWarmTime)
		if t.rules.TimesByRoute {
			work = t.meanTime(s, q, true)
		}
	}
	finish := now.Add(max(wait, c.wait) + work)
	if finish.Before(q.Objective) {
		return 0, false
	}
	maxWait := time.Duration(t.rules.LateWaitShare * float64(q.Deadline.Sub(now)))
	if finish.Before(q.Deadline) && wait <= maxWait {
		return 0, false
	}
	return min(maxRetryAfter, max(minRetryAfter, wait)), true
}

// ahead returns how many queued requests precede a request.
func (s *service) ahead(q *Query) int {
	n := 0
	for _, queued := range s.queue {
		if precedes(&queued.query, q) {
			n++
		}
	}
	return n
}

// precedes orders requests by priority, then by latency objective.
func precedes(a, b *Query) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return !b.Objective.Before(a.Objective)
}

func (s *service) enqueue(ticket *Ticket) {
	i := len(s.queue)
	for i > 0 && !precedes(&s.queue[i-1].query, &ticket.query) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, ticket)
}

func (s *service) remove(ticket *Ticket) {
	if i := slices.Index(s.queue, ticket); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// RetryAfter returns the delay after which a caller may retry a request that a backend server with load l rejected.
func (t *Table) RetryAfter(l Load) time.Duration {
	if l.Reported && l.Waiting == 0 && l.Running < l.Slots {
		return t.rules.RetryAfterSpare
	}
	return t.rules.RetryAfterFull
}
