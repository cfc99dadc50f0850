package plainroute

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const copyBufferBytes = 32 << 10

// droppedHeaders are not copied between caller and target, because they carry
// credentials or apply to one connection only.
var droppedHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie",
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deliver streams the response of a target to the caller. If the response is
// interrupted, the connection to the caller is aborted, so that the caller does
// not mistake it for a complete response.
func (s *Routes) deliver(ex *exchange, resp *targetResponse) {
	copyHeaders(ex.w.Header(), resp.Header)
	ex.w.Header().Set(headerRequestID, ex.r.Header.Get(headerRequestID))
	ex.w.WriteHeader(resp.StatusCode)
	s.copyBody(ex.w, resp.Body)
}

// copyBody copies body to w. It applies backpressure to the target when the
// caller is slow, and stops if a write takes longer than the write timeout.
func (s *Routes) copyBody(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(s.config.Clock.Now().Add(s.config.WriteTimeout))
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

// connectionHeader reports whether the Connection header lists the header name.
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
