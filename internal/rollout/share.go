package rollout

// maxCredit bounds the draws that a route may take one right after the other, after
// draws were given back.
const maxCredit = 2

// Share decides which requests of one gateway go to the new version: a fraction of the
// requests that this gateway sends itself, evenly spaced on each route, from a random
// start. It is not safe for concurrent use.
//
// After n requests of a route, the new version has got at most start + fraction x n of
// them, in whole numbers, with a start drawn uniformly from [0, 1). On average this is no
// more than fraction x n, so that the sum over many gateways needs slack only for the
// rounding of each of them, half of which is upwards. A gateway that starts again begins
// with another random start, which adds one more rounding but no draws on average. A
// request earns its part of a draw only after it has been sent; the first one of each
// route is never drawn, except in a fraction of 1.
type Share struct {
	fraction float64
	random   func() float64
	// credit holds, by route, the draws that are due.
	credit map[string]float64
}

// NewShare returns a Share of the given fraction. random returns random numbers in
// [0, 1).
func NewShare(fraction float64, random func() float64) *Share {
	return &Share{fraction: fraction, random: random, credit: make(map[string]float64)}
}

// Draw takes a draw for a request of the route that is about to be sent. It reports false
// if none is due. A draw that is not used may be returned.
func (s *Share) Draw(route string) bool {
	if s.fraction >= 1 {
		return true
	}
	if s.due(route) < 1 {
		return false
	}
	s.credit[route]--
	return true
}

// Return gives back a draw whose request was not sent, other than for lack of room.
func (s *Share) Return(route string) { s.add(route, 1) }

// RecordSent records a request of the route, which counts once whether it went to the
// old or to the new version, and however often it was repeated.
func (s *Share) RecordSent(route string) { s.add(route, s.fraction) }

func (s *Share) add(route string, n float64) {
	s.credit[route] = min(s.due(route)+n, maxCredit)
}

// due returns the draws that are due on the route.
func (s *Share) due(route string) float64 {
	c, known := s.credit[route]
	if !known {
		c = s.random()
		s.credit[route] = c
	}
	return c
}
