package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxAnswers bounds the answers to renewals that are encoded and written at once.
	// Hundreds of them, after a change, would hold up the messages of the control group
	// for longer than its election timeout on a fraction of a core.
	maxAnswers = 8
	// maxAnswerTurn is the time after which an answer that is still being written no
	// longer counts: its connection is slow, and takes no processor time.
	maxAnswerTurn = 10 * time.Millisecond
	// answerTimeWeight is the weight of one answer in the moving average of their cost.
	answerTimeWeight = 1.0 / 64
)

// answers sends the answers to renewals in order, at most maxAnswers at a time. It is
// safe for concurrent use.
type answers struct {
	mu sync.Mutex
	// open is the number of answers under way, waiting are those to come.
	open    int
	waiting []answer
	// peak is the largest number of both since takePeak.
	peak int
	// cost is the moving average of the time that an answer takes from the others: its
	// turn divided by the number of turns at once.
	cost time.Duration
}

type answer struct {
	renewal  *renewal
	response *clusterpb.RenewResponse
}

// answerState is where the answer to a renewal stands. answers.mu guards it.
type answerState int

const (
	unanswered answerState = iota
	abandoned
	underWay
	answered
)

// send sends the response to a renewal once its turn has come, unless the renewal is
// abandoned before. It does not block.
func (a *answers) send(r *renewal, resp *clusterpb.RenewResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, answer{r, resp})
	a.peak = max(a.peak, a.open+len(a.waiting))
	a.startNext()
}

// startNext starts the next answers. a.mu must be held.
func (a *answers) startNext() {
	for a.open < maxAnswers && len(a.waiting) > 0 {
		next := a.waiting[0]
		a.waiting[0] = answer{}
		a.waiting = a.waiting[1:]
		r := next.renewal
		if r.state == abandoned {
			continue
		}
		r.state = underWay
		a.open++
		r.turnBegan, r.turnsAtOnce = time.Now(), a.open
		r.turn = time.AfterFunc(maxAnswerTurn, func() { a.end(r) })
		r.reply <- next.response
	}
}

// end ends the turn of a renewal, if it has one.
func (a *answers) end(r *renewal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != underWay {
		return
	}
	r.state = answered
	r.turn.Stop()
	took := time.Since(r.turnBegan) / time.Duration(max(r.turnsAtOnce, a.open))
	a.cost += time.Duration(answerTimeWeight * float64(took-a.cost))
	a.open--
	a.startNext()
}

// abandon gives up a renewal whose sender no longer waits. It reports false if the
// answer has been sent already.
func (a *answers) abandon(r *renewal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != unanswered {
		return false
	}
	r.state = abandoned
	return true
}

// costOf returns the time that n answers are expected to take.
func (a *answers) costOf(n int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(n) * a.cost
}

// takePeak returns the largest number of answers that were under way or waiting at
// once since the last call.
func (a *answers) takePeak() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	peak := a.peak
	a.peak = a.open + len(a.waiting)
	return peak
}

type renewalKey struct{}

// setRenewal tells the handler of the request of ctx which renewal it answers.
func setRenewal(ctx context.Context, r *renewal) {
	if of, ok := ctx.Value(renewalKey{}).(**renewal); ok {
		*of = r
	}
}

// wrap returns a handler that calls next and ends the turn of the renewal when next
// has written the answer.
func (a *answers) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var of *renewal
		defer func() {
			if of != nil {
				a.end(of)
			}
		}()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), renewalKey{}, &of)))
	})
}
