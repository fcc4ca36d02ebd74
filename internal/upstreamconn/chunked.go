package upstreamconn

import (
	"bufio"
	"strconv"
)

// chunkWriter writes a body of unknown length in the chunked transfer coding.
type chunkWriter struct{ w *bufio.Writer }

// Write implements io.Writer.
func (c *chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	_, _ = c.w.WriteString(strconv.FormatInt(int64(len(b)), 16) + "\r\n")
	_, _ = c.w.Write(b)
	_, err := c.w.WriteString("\r\n")
	return len(b), err
}

// finish writes the last chunk and flushes the writer.
func (c *chunkWriter) finish() error {
	_, _ = c.w.WriteString("0\r\n\r\n")
	return c.w.Flush()
}
