package pick

import (
	"math"
	"time"
)

const (
	// speedSamples is how many samples a backend server needs for its estimate to count for half: few samples are neutral.
	speedSamples = 2
	// speedWeight is the lowest weight of a new sample in an estimate, typicalWeight in the service's typical ratio.
	speedWeight, typicalWeight = 0.2, 0.02
	// maxSpeedStep bounds the difference between a sample and the estimate, as a logarithm. A load factor that changes while a request
	// runs makes the ratio 2.5 times (0.9) too high or too low, which is the same on average, and a request of the tail 7 times (1.9).
	maxSpeedStep = 1.5
	// maxSpeed bounds the estimate, as a logarithm.
	maxSpeed = 2
)

// ratio is a mean of the logarithm of measured to expected service times that is robust to outliers.
type ratio struct {
	log float64
	n   int
}

func (r *ratio) add(log, lowestWeight float64) {
	r.n++
	weight := max(lowestWeight, 1/float64(r.n+speedSamples))
	r.log += weight * min(maxSpeedStep, max(-maxSpeedStep, log-r.log))
	r.log = min(maxSpeed, max(-maxSpeed, r.log))
}

// factor returns the factor on the service times of a backend server, 1 while there are no samples.
func (r *ratio) factor() float64 {
	return math.Exp(r.log * float64(r.n) / float64(r.n+speedSamples))
}

// recordSpeed adds a service time to the estimate of a backend server's speed. Both expected and reported are factors of the service
// time that have nothing to do with it: the mean for this kind of request, and the load factor that the backend server reports. As the
// mean contains a tail that most requests don't belong to, the estimate is relative to the service's typical ratio.
func (t *Table) recordSpeed(svc *service, s *server, took, expected time.Duration, reported float64) {
	if !t.rules.SpeedByServer || took <= 0 || expected <= 0 || reported <= 0 {
		return
	}
	log := math.Log(float64(took) / (float64(expected) * reported))
	svc.typical.add(log, typicalWeight)
	s.speed.add(log-svc.typical.log, speedWeight)
}

// recordSlowCut accounts for a request that was cut at its deadline, which took at least as long: a backend server at which all requests
// are cut would otherwise have no samples.
func (t *Table) recordSlowCut(now time.Time, svc *service, s *server, q *Query, took time.Duration, warm bool) {
	expected, reported := t.meanTime(svc, q, warm), s.reportedFactorNow(now)
	if float64(took) > float64(expected)*reported*s.speed.factor()*math.Exp(svc.typical.log) {
		t.recordSpeed(svc, s, took, expected, reported)
	}
}

// ownFactor returns the factor on the service times of a backend server beyond the load factor that it reports. A fast one counts as
// usual, so that requests for cold objects are not drawn to it.
func (t *Table) ownFactor(s *server) float64 {
	if t.rules.SpeedByServer {
		return max(1, s.speed.factor())
	}
	return max(1, s.unreportedFactor)
}

// factorNow returns the expected service time at a backend server as a multiple of the mean.
func (t *Table) factorNow(now time.Time, s *server) float64 {
	return t.ownFactor(s) * s.reportedFactorNow(now)
}
