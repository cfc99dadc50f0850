package transport

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// writeNoticeTimeout bounds the wait for the notice that a request was written. A target that
// has read the whole request before it ends its answer leaves only the way of that notice
// between two goroutines.
const writeNoticeTimeout = 500 * time.Millisecond

// isUnframed reports whether the body of an answer ends with its connection.
func isUnframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && answer.Body != http.NoBody
}

// unframedBody is a body that ends with its connection. Its end counts only if the request was
// written completely: the kernel reports a reset once, to the read or to the write. If the write
// takes it, the read ends as if the target had closed the connection.
type unframedBody struct {
	io.ReadCloser
	trace *requestTrace
	// end is the error of the end; nil before that.
	end error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.trace.wasWritten() {
		err = io.ErrUnexpectedEOF
	}
	b.end = err
	return n, err
}

// requestWritten is called when the request has been written, or its write has failed.
func (t *requestTrace) requestWritten(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.write <- info.Err:
	default: // no connection, or called before for it
	}
}

// wasWritten reports whether the request was written completely. It waits up to
// writeNoticeTimeout for a write in progress, and may be called once only. The notice comes
// before net/http writes the last bytes that it buffers, such as the last chunk, so that the
// connection is asked too.
func (t *requestTrace) wasWritten() bool {
	t.mu.Lock()
	write := t.write
	var c *conn
	if n := len(t.conns); n > 0 {
		c = t.conns[n-1].conn
	}
	t.mu.Unlock()
	timer := time.NewTimer(writeNoticeTimeout)
	defer timer.Stop()
	select {
	case err := <-write:
		return err == nil && c != nil && !c.hasRefused(timer.C)
	case <-timer.C:
		return false
	}
}
