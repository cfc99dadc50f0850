package plainroute

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
)

// replayBytes is the size up to which a body is read whole, so that it can be
// sent again.
const replayBytes = 256 << 10

// body is a request body: read whole, or streamed once.
type body struct {
	whole  []byte
	stream io.Reader
	length int64
	taken  bool
}

// reader returns the body for one attempt; ok is false when it was streamed
// already.
func (b *body) reader() (r io.ReadCloser, length int64, ok bool) {
	if b.stream != nil {
		if b.taken {
			return nil, 0, false
		}
		return &streamed{body: b}, b.length, true
	}
	if len(b.whole) == 0 {
		return http.NoBody, 0, true
	}
	return io.NopCloser(bytes.NewReader(b.whole)), int64(len(b.whole)), true
}

// streamed reads the caller's body; closing it leaves the caller's connection
// alone, so that an attempt that read nothing can be followed by another.
type streamed struct{ body *body }

// Read reads from the caller.
func (s *streamed) Read(data []byte) (int, error) {
	s.body.taken = true
	return s.body.stream.Read(data)
}

// Close does nothing.
func (s *streamed) Close() error { return nil }

// prepareBody reads a small body whole and leaves a large one to be streamed.
func (s *Routes) prepareBody(p *passage) error {
	limit := s.maxBodyBytes(&p.route)
	if p.r.ContentLength == 0 {
		p.body = &body{}
		return nil
	}
	limited := http.MaxBytesReader(p.w, p.r.Body, limit)
	if p.r.ContentLength > replayBytes {
		p.body = &body{stream: limited, length: p.r.ContentLength}
		return nil
	}
	head, err := s.read(p, io.LimitReader(limited, replayBytes+1))
	if err != nil {
		return err
	}
	if len(head) <= replayBytes {
		p.body = &body{whole: head}
		return nil
	}
	p.body = &body{stream: io.MultiReader(bytes.NewReader(head), limited), length: -1}
	return nil
}

// readWhole reads the whole body.
func (s *Routes) readWhole(p *passage) error {
	whole, err := s.read(p, http.MaxBytesReader(p.w, p.r.Body, s.maxBodyBytes(&p.route)))
	p.body = &body{whole: whole}
	return err
}

// read reads from the caller within the body timeout. The deadline is lifted
// afterwards, since it would also end the request.
func (s *Routes) read(p *passage, r io.Reader) ([]byte, error) {
	controller := http.NewResponseController(p.w)
	_ = controller.SetReadDeadline(s.parts.Clock.Now().Add(s.parts.BodyTimeout))
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, failure.FromBody(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return data, nil
}
