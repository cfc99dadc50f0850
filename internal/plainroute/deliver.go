package plainroute

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const copyBufferBytes = 32 << 10

// droppedHeaders are never sent to a target: they carry keys or belong to
// one connection.
var droppedHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie",
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deliver streams a target's answer to the caller. A broken answer breaks the
// caller's connection, so that it is never taken for a whole one.
func (s *Routes) deliver(p *passage, answer *targetAnswer) {
	copyHeaders(p.w.Header(), answer.Header)
	p.w.Header().Set(headerRequestID, p.r.Header.Get(headerRequestID))
	p.w.WriteHeader(answer.StatusCode)
	s.copyBody(p.w, answer.Body)
}

// copyBody holds back the target when the caller is slow, and gives up when a
// write takes longer than the write timeout.
func (s *Routes) copyBody(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(s.parts.Clock.Now().Add(s.parts.WriteTimeout))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if slices.Contains(droppedHeaders, name) || connectionHeader(from, name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// connectionHeader reports whether the Connection header names the header.
func connectionHeader(h http.Header, name string) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
