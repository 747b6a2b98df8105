package imitator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// unframedWriter is a response writer that sends a body with neither a length nor chunks, which
// ends with its connection.
type unframedWriter struct {
	conn        net.Conn
	out         *bufio.ReadWriter
	header      http.Header
	wroteHeader bool
}

// newUnframedWriter takes the connection of a response over. The caller closes it.
func newUnframedWriter(w http.ResponseWriter) (*unframedWriter, error) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return &unframedWriter{conn: conn, out: out, header: w.Header().Clone()}, nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter. It leaves out the length.
func (u *unframedWriter) WriteHeader(status int) {
	if u.wroteHeader {
		return
	}
	u.wroteHeader = true
	u.header.Del("Content-Length")
	// A failed write shows in the flush.
	_, _ = fmt.Fprintf(u.out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(u.out)
	_, _ = u.out.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.out.Write(p)
}

// FlushError sends what was written.
func (u *unframedWriter) FlushError() error {
	u.WriteHeader(http.StatusOK)
	return u.out.Flush()
}

// close sends what was written and closes the connection.
func (u *unframedWriter) close() {
	_ = u.FlushError()
	_ = u.conn.Close()
}
