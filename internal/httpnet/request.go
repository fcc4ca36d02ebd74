package httpnet

import (
	"net/http"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
)

// request is a request with a body or over HTTP/2, whose client the budget watches. For others,
// it watches their connection only.
type request struct {
	budget *Budget
	// conn is the connection of the request, nil if the budget does not know it.
	conn       *limitedConn
	client     *clientbudget.Client
	controller *http.ResponseController
	http2      bool
}

// begin adds a request to the budget. conn is its connection, nil if the budget does not know
// it.
func (b *Budget) begin(w http.ResponseWriter, r *http.Request, conn *limitedConn) *request {
	q := &request{budget: b, conn: conn, controller: http.NewResponseController(w), http2: r.ProtoMajor == 2}
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

// drop makes pending reads of the body fail, and over HTTP/2 also writes of the answer.
func (q *request) drop() {
	// They fail only if the connection is gone.
	_ = q.controller.SetReadDeadline(past)
	if q.http2 {
		_ = q.controller.SetWriteDeadline(past)
	}
}

// headCopies is the number of copies of a head over HTTP/2 that are held at a time.
const headCopies = 2

// headBytes returns the length of the fields of a head.
func headBytes(r *http.Request) int64 {
	n := len(r.Host) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// streamWriter tells the budget when a client over HTTP/2 is waited for to read an answer:
// the window of its stream may be used up while its connection is read.
type streamWriter struct {
	http.ResponseWriter
	request *request
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(b []byte) (int, error) {
	w.request.await(clientbudget.ReadingAnswer)
	n, err := w.ResponseWriter.Write(b)
	w.request.moved(n)
	return n, err
}

// FlushError is used by http.ResponseController.
func (w *streamWriter) FlushError() error {
	w.request.await(clientbudget.ReadingAnswer)
	defer w.request.moved(0)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
