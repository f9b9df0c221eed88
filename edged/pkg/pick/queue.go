package pick

import (
	"slices"
	"time"
)

// Rules of the queue.
const (
	// lookAhead is how many of those that wait are looked at when a slot may be free.
	lookAhead = 48
	// rateTime is the time constant of the rate of sends.
	rateTime = time.Second
	// rateFloor is the lowest rate that is assumed, in requests a second.
	rateFloor = 2
	// retryLeast and retryMost bound the time after which a caller is asked to come back.
	retryLeast = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// sent counts a send in the rate.
func (s *service) sent(now time.Time) {
	s.rate = s.rateNow(now) + 1/rateTime.Seconds()
	s.rateAt = now
}

// rateNow returns the rate of sends with older ones fading out.
func (s *service) rateNow(now time.Time) float64 {
	age := now.Sub(s.rateAt)
	if age >= 2*rateTime {
		return 0
	}
	return s.rate * max(0, 1-age.Seconds()/rateTime.Seconds())
}

// wait returns how long n requests in the queue need.
func (s *service) wait(now time.Time, n int) time.Duration {
	return time.Duration(float64(n) / max(rateFloor, s.rateNow(now)) * float64(time.Second))
}

// least returns the shortest time that a request takes at best.
func (s *service) least() time.Duration { return s.warm.value(firstWarm) / 2 }

// judge tells whether a request would wait for too long, and after which time there may be room.
func (s *service) judge(now time.Time, q *Query, o option, ok bool, lateShare float64) (time.Duration, bool) {
	wait := s.wait(now, s.ahead(q))
	finish := now.Add(wait + s.warm.value(firstWarm))
	if ok {
		finish = now.Add(max(wait, o.wait) + o.work)
	}
	if finish.Before(q.Objective) {
		return 0, false
	}
	late := time.Duration(lateShare * float64(q.Deadline.Sub(now)))
	if finish.Before(q.Deadline) && wait <= late {
		return 0, false
	}
	return min(retryMost, max(retryLeast, wait)), true
}

// ahead returns how many of those that wait go before a request.
func (s *service) ahead(q *Query) int {
	n := 0
	for _, k := range s.queue {
		if before(&k.query, q) {
			n++
		}
	}
	return n
}

// before orders requests: by rank, then by when they lose their full worth.
func before(a, b *Query) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return !b.Objective.Before(a.Objective)
}

func (s *service) enqueue(k *Ticket) {
	i := len(s.queue)
	for i > 0 && !before(&s.queue[i-1].query, &k.query) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, k)
}

func (s *service) remove(k *Ticket) {
	if i := slices.Index(s.queue, k); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// RetryAfter returns when a caller may come back whose request a backend server did not run.
func (t *Table) RetryAfter(l Load) time.Duration {
	if l.Reported && l.Waiting == 0 && l.Running < l.Slots {
		return t.rules.RetryRoom
	}
	return t.rules.RetryFull
}
