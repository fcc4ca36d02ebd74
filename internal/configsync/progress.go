package configsync

import (
	"io"
	"net/http"
)

// progressClient is an HTTP client that calls progress whenever a piece of an
// answer has arrived, so that a slow transfer can be told from one that stalls.
type progressClient struct {
	client   *http.Client
	progress func()
}

// Do implements the client that generated code expects.
func (c progressClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	c.progress()
	resp.Body = &progressBody{resp.Body, c.progress}
	return resp, nil
}

type progressBody struct {
	io.ReadCloser
	progress func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress()
	}
	return n, err
}
