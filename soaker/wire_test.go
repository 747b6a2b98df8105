package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"
)

// idlePeek is the time for which a connection is read before a request is sent on it.
const idlePeek = time.Millisecond

// wireError reports bytes that are no answer in the protocol.
type wireError struct{ text string }

// Error describes the bytes.
func (e *wireError) Error() string { return e.text }

// wireConn is a caller's connection to an entry, read byte by byte.
type wireConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialWire opens a connection.
func dialWire(address string) (*wireConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &wireConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// isOpen reports whether the entry has neither ended the connection nor sent bytes, which belong
// to no request. Such bytes are a *wireError.
func (w *wireConn) isOpen() (bool, error) {
	_ = w.conn.SetReadDeadline(time.Now().Add(idlePeek))
	data, err := w.reader.Peek(1)
	if len(data) > 0 {
		rest, _ := w.reader.Peek(w.reader.Buffered())
		return false, &wireError{fmt.Sprintf("%q arrived with no request waiting", rest)}
	}
	return errors.Is(err, os.ErrDeadlineExceeded), nil
}

// send writes a request.
func (w *wireConn) send(request []byte, timeout time.Duration) error {
	_ = w.conn.SetDeadline(time.Now().Add(timeout))
	_, err := w.conn.Write(request)
	return err
}

// close closes the connection.
func (w *wireConn) close() { _ = w.conn.Close() }

// wireAnswer is an answer that is being read.
type wireAnswer struct {
	reader *bufio.Reader
	status int
	header textproto.MIMEHeader
	// chunked is set for a body in chunks. left is the rest of the chunk, or of a body with a
	// length. unframed is set for a body that ends with its connection.
	chunked  bool
	unframed bool
	left     int
	// ended is set after the end of the body.
	ended bool
}

// readAnswer reads the head of an answer.
func (w *wireConn) readAnswer() (*wireAnswer, error) {
	line, err := readLine(w.reader)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 200 || status > 599 {
		return nil, &wireError{fmt.Sprintf("the line %q begins no answer", line)}
	}
	a := &wireAnswer{reader: w.reader, status: status, header: textproto.MIMEHeader{}}
	for {
		line, err := readLine(w.reader)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return a, a.findFraming()
		}
		name, value, ok := strings.Cut(line, ": ")
		if !ok {
			return nil, &wireError{fmt.Sprintf("the line %q is no header", line)}
		}
		a.header.Add(name, value)
	}
}

// readLine reads a line that ends as those of heads do. An end before the first byte is io.EOF.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil && line != "" {
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	text, ok := strings.CutSuffix(line, "\r\n")
	if !ok {
		return "", &wireError{fmt.Sprintf("the line %q has no proper end", line)}
	}
	return text, nil
}

// findFraming reads from the head how the body ends.
func (a *wireAnswer) findFraming() error {
	length := a.header.Get("Content-Length")
	a.chunked = a.header.Get("Transfer-Encoding") == "chunked"
	a.unframed = !a.chunked && length == ""
	if a.chunked && length != "" {
		return &wireError{"an answer has a length and chunks"}
	}
	if length == "" {
		return nil
	}
	var err error
	a.left, err = strconv.Atoi(length)
	return err
}

// readByte returns the next byte of the body, or io.EOF after a body that looks complete. Any
// other error means that the body broke off or is malformed.
func (a *wireAnswer) readByte() (byte, error) {
	switch {
	case a.ended:
		return 0, io.EOF
	case a.unframed:
		return a.reader.ReadByte()
	case a.left == 0 && a.chunked:
		if err := a.beginChunk(); err != nil {
			return 0, err
		}
	}
	if a.left == 0 {
		a.ended = true
		return 0, io.EOF
	}
	a.left--
	b, err := a.reader.ReadByte()
	if err == nil && a.left == 0 && a.chunked {
		err = a.expectLine("")
	}
	return b, breakOff(err)
}

// beginChunk reads the size of a chunk, and the end of the body after the last one.
func (a *wireAnswer) beginChunk() error {
	line, err := readLine(a.reader)
	if err != nil {
		return breakOff(err)
	}
	size, err := strconv.ParseUint(line, 16, 31)
	if err != nil {
		return &wireError{fmt.Sprintf("%q is no size of a chunk", line)}
	}
	a.left = int(size)
	if size == 0 {
		return a.expectLine("")
	}
	return nil
}

// expectLine reads a line that has to be the given one.
func (a *wireAnswer) expectLine(want string) error {
	line, err := readLine(a.reader)
	if err == nil && line != want {
		return &wireError{fmt.Sprintf("the line %q follows a chunk", line)}
	}
	return breakOff(err)
}

// breakOff returns the error for a body whose connection ended too early.
func breakOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBody reads the rest of the body.
func (a *wireAnswer) readBody() ([]byte, error) {
	var body []byte
	for {
		b, err := a.readByte()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body = append(body, b)
	}
}
