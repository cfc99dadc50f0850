package plainroute

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
)

// maxReplayBytes is the largest size of a body that is buffered, so that the
// request can be retried after a part of the body was sent.
const maxReplayBytes = 256 << 10

// body is a request body, which is either buffered in whole or streamed once
// from stream. length is -1 if it is unknown.
type body struct {
	whole    []byte
	stream   io.Reader
	length   int64
	consumed bool
}

// reader returns the body for one attempt. ok is false if a part of a streamed
// body has already been read.
func (b *body) reader() (r io.ReadCloser, length int64, ok bool) {
	if b.stream != nil {
		if b.consumed {
			return nil, 0, false
		}
		return &streamReader{body: b}, b.length, true
	}
	if len(b.whole) == 0 {
		return http.NoBody, 0, true
	}
	return io.NopCloser(bytes.NewReader(b.whole)), int64(len(b.whole)), true
}

// streamReader reads a streamed body. Closing it does not close the body of the
// incoming request, so that another attempt can follow one that read nothing.
type streamReader struct{ body *body }

// Read reads from the incoming request.
func (s *streamReader) Read(data []byte) (int, error) {
	s.body.consumed = true
	return s.body.stream.Read(data)
}

// Close has no effect.
func (s *streamReader) Close() error { return nil }

// prepareBody buffers a body of at most maxReplayBytes and prepares a larger one
// for streaming.
func (s *Routes) prepareBody(ex *exchange) error {
	limit := s.maxBodyBytes(&ex.route)
	if ex.r.ContentLength == 0 {
		ex.body = &body{}
		return nil
	}
	limited := http.MaxBytesReader(ex.w, ex.r.Body, limit)
	if ex.r.ContentLength > maxReplayBytes {
		ex.body = &body{stream: limited, length: ex.r.ContentLength}
		return nil
	}
	head, err := s.read(ex, io.LimitReader(limited, maxReplayBytes+1))
	if err != nil {
		return err
	}
	if len(head) <= maxReplayBytes {
		ex.body = &body{whole: head}
		return nil
	}
	ex.body = &body{stream: io.MultiReader(bytes.NewReader(head), limited), length: -1}
	return nil
}

// readWhole buffers the whole body, up to the size limit of the route.
func (s *Routes) readWhole(ex *exchange) error {
	whole, err := s.read(ex, http.MaxBytesReader(ex.w, ex.r.Body, s.maxBodyBytes(&ex.route)))
	ex.body = &body{whole: whole}
	return err
}

// read reads r, a part of the request body, within the body timeout. It removes
// the read deadline afterwards, since its expiry would cancel the request.
func (s *Routes) read(ex *exchange, r io.Reader) ([]byte, error) {
	controller := http.NewResponseController(ex.w)
	_ = controller.SetReadDeadline(s.config.Clock.Now().Add(s.config.BodyTimeout))
	data, held, err := s.config.Bodies.ReadAll(r)
	ex.held += held
	if err != nil {
		return nil, failure.FromBody(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return data, nil
}
