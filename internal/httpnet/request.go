package httpnet

import (
	"net/http"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
)

// request is a request with a body, whose client the budget watches. For others,
// it watches their connection only.
type request struct {
	budget *Budget
	// conn is the connection of the request, nil if the budget does not know it.
	conn       *limitedConn
	client     *clientbudget.Client
	controller *http.ResponseController
}

// begin adds a request to the budget. conn is its connection, nil if the budget does not know
// it.
func (b *Budget) begin(w http.ResponseWriter, conn *limitedConn) *request {
	q := &request{budget: b, conn: conn, controller: http.NewResponseController(w)}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.client = b.ledger.Begin(b.now())
	q.client.Drop = q.drop
	return q
}

// await is called before a read or a write that may wait for the client.
func (q *request) await(p clientbudget.Phase) {
	q.budget.enter(q.client, p)
	if q.conn != nil {
		q.conn.awaitClient(p)
	}
}

// moved is called after that, when n bytes have moved.
func (q *request) moved(n int) {
	q.budget.moved(q.client, n)
	if q.conn != nil {
		q.conn.clientMoved(n)
	}
}

// dropped reports whether the client has been dropped.
func (q *request) dropped() bool {
	q.budget.mu.Lock()
	defer q.budget.mu.Unlock()
	return q.client.Dropped() || q.conn != nil && q.conn.client != nil && q.conn.client.Dropped()
}

// drop makes pending reads of the body fail.
func (q *request) drop() {
	// It fails only if the connection is gone.
	_ = q.controller.SetReadDeadline(past)
}
