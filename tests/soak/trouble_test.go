package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fireflypier.example/fireflypier/internal/faultproxy"
)

// trouble is a way in which a target misbehaves while it counts as sound.
type trouble int

const (
	noTrouble trouble = iota
	// repeatsRefusals refuses requests, and writes the refusals a second time later.
	repeatsRefusals
	// repeatsAnonymously does the same, without the ID of the request the second time.
	repeatsAnonymously
	// repeatsAnswers writes some answers a second time later.
	repeatsAnswers
	// failsAfterRun runs requests and answers 500, 429 or 503, without the statement that it
	// has not run them.
	failsAfterRun
	// breaksOff runs requests and closes the connection, with half an answer or none.
	breaksOff
	// refusesEarly refuses requests before it has read their bodies, and may then close
	// the connection.
	refusesEarly
	// closesIdle closes connections some milliseconds after an answer.
	closesIdle
	// stalls begins streams and sends no further event from some point on.
	stalls
	// goesOn stalls, and works on for a while after the connection has been closed.
	goesOn
	// silencesOpen stalls, and the open connections to one engine after another go silent while
	// new ones work.
	silencesOpen
	// fillsUp runs one request at a time, has one more wait, and refuses the others. It answers
	// 503 if the deadline passes before the run, 504 if it passes in the run.
	fillsUp
	// answersEarly answers before it has read a long body, and reads on on the same connection.
	answersEarly
	// garbles runs requests and sends half an answer, bytes that are no answer, or more bytes
	// after a whole one.
	garbles
	// endsWithConnection runs requests and sends answers without a length, which end with their
	// connections.
	endsWithConnection
	// omitsNumbers sends events without numbers, and breaks off.
	omitsNumbers
	// limitsConns resets the connections beyond a few.
	limitsConns
	troubles
)

// String returns what targets do, for the names of specs.
func (t trouble) String() string {
	return [troubles]string{
		"serve", "repeat refusals", "repeat refusals without an ID", "repeat answers", "fail after they have run requests", "break off",
		"refuse early", "close idle connections", "stall", "go on after their connections are closed",
		"find open connections silent", "fill up", "answer early", "garble answers", "end answers with connections",
		"omit the numbers of events", "reset connections beyond a few",
	}[t]
}

const (
	// troubleShare is the share of its requests at which a target in trouble misbehaves.
	troubleShare = 0.1
	// silentShare is the share of its streams that such a target stalls while its connections
	// go silent: few requests are sent then.
	silentShare = 0.5
	// maxExtraDelay is the time after an answer within which more bytes follow, or the
	// connection is closed.
	maxExtraDelay = 30 * time.Millisecond
	// lateTime is the time for which a target works on after a connection was closed.
	lateTime = 1500 * time.Millisecond
	// silenceTime is the time for which open connections are silent.
	silenceTime = 2500 * time.Millisecond
	// maxConns is the number of connections that a target which limits them keeps.
	maxConns = 3
	// fullRunTime is the time that a run takes at a target that fills up.
	fullRunTime = 40 * time.Millisecond
)

// limitedListener resets connections beyond maxConns while its target limits them.
type limitedListener struct {
	net.Listener
	target *target
	open   atomic.Int32
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := &limitedConn{Conn: c, open: &l.open}
		if l.open.Add(1) <= maxConns || l.target.currentTrouble() != limitsConns {
			return limited, nil
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = limited.Close()
	}
}

// limitedConn counts as open until it is closed.
type limitedConn struct {
	net.Conn
	open   *atomic.Int32
	closed sync.Once

	mu sync.Mutex // orders writes
	// held is written in one segment with the next answer, before or after it.
	held      []byte
	heldAfter bool
}

// Write implements net.Conn.
func (c *limitedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) == 0 {
		return c.Conn.Write(data)
	}
	all := slices.Concat(c.held, data)
	if c.heldAfter {
		all = slices.Concat(data, c.held)
	}
	c.held = nil
	if _, err := c.Conn.Write(all); err != nil {
		return 0, err
	}
	return len(data), nil
}

// hold keeps bytes for the segment of the next answer.
func (c *limitedConn) hold(data string, after bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held, c.heldAfter = []byte(data), after
}

// writePieces writes data in several segments. Answers wait meanwhile.
func (c *limitedConn) writePieces(data string, pieces int, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Conn.Write([]byte(data[i*len(data)/pieces : (i+1)*len(data)/pieces])); err != nil {
			return // the VM has closed the connection
		}
	}
}

func (c *limitedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

type connKey struct{}

// withConn makes the connection of a request known to its handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// writeLater writes bytes to the connection of a request some time after its answer.
func writeLater(r *http.Request, data string) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	time.AfterFunc(rand.N(maxExtraDelay), func() { _, _ = c.Write([]byte(data)) })
}

func closeLater(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	time.AfterFunc(rand.N(maxExtraDelay), func() { _ = c.Close() })
}

// refuse refuses a request that has not run.
func refuse(w http.ResponseWriter, id string) {
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// rawAnswer returns the bytes of an answer with a status line and header fields.
func rawAnswer(head []string, body string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(head, "\r\n"), len(body), body)
}

// misbehave serves a request by the target's trouble. It returns false if the request is
// to be served as usual.
func (t *target) misbehave(w http.ResponseWriter, r *http.Request, id string) bool {
	kind := t.currentTrouble()
	if kind == noTrouble || rand.Float64() >= troubleShare {
		return false
	}
	switch kind {
	case repeatsRefusals, repeatsAnonymously:
		refuse(w, id)
		head := []string{"HTTP/1.1 503 Service Unavailable", "Fireflypier-Not-Executed: 1", "Fireflypier-Request-Id: " + id}
		if kind == repeatsAnonymously {
			head = head[:2]
		}
		writeLater(r, rawAnswer(head, ""))
		return true
	case repeatsAnswers:
		writeLater(r, rawAnswer([]string{"HTTP/1.1 200 OK", "Fireflypier-Request-Id: " + id, "Fireflypier-Server-Seal: seal-" + t.id}, "answer "+id))
	case failsAfterRun:
		defer t.site.recordRun(id, t.id)()
		w.Header().Set("Fireflypier-Request-Id", id)
		w.Header().Set("Fireflypier-Server-Seal", "seal-"+t.id)
		w.WriteHeader([]int{http.StatusInternalServerError, http.StatusTooManyRequests, http.StatusServiceUnavailable}[rand.IntN(3)])
		return true
	case breaksOff:
		defer t.site.recordRun(id, t.id)()
		if rand.IntN(2) == 0 {
			w.Header().Set("Fireflypier-Request-Id", id)
			w.Header().Set("Fireflypier-Server-Seal", "seal-"+t.id)
			_, _ = fmt.Fprint(w, strings.Repeat("half", 2000))
		}
		panic(http.ErrAbortHandler)
	case refusesEarly:
		if rand.IntN(2) == 0 {
			w.Header().Set("Connection", "close")
		}
		refuse(w, id)
		return true
	case closesIdle:
		closeLater(r)
	case fillsUp:
		return t.refuseIfFull(w, r, id)
	case answersEarly:
		return t.answerEarly(w, r, id)
	case garbles, endsWithConnection:
		return t.answerRaw(w, r, kind, id)
	case omitsNumbers:
		return t.streamWithoutNumbers(w, r, id)
	case noTrouble, stalls, goesOn, silencesOpen, limitsConns, troubles:
	}
	return false
}

// refuseIfFull refuses a request if another one waits, or if its deadline passes before
// its run. It returns false if the target has room.
func (t *target) refuseIfFull(w http.ResponseWriter, r *http.Request, id string) bool {
	if t.waiting.Add(1) > 2 {
		t.waiting.Add(-1)
		refuse(w, id)
		return true
	}
	defer t.waiting.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	limit, _ := strconv.Atoi(r.Header.Get("Fireflypier-Deadline-Ms"))
	deadline := time.After(time.Duration(limit) * time.Millisecond)
	select {
	case t.place <- struct{}{}:
		defer func() { <-t.place }()
	case <-deadline:
		refuse(w, id)
		return true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(rand.N(fullRunTime)):
	case <-deadline:
		defer t.site.recordRun(id, t.id)()
		w.Header().Set("Fireflypier-Request-Id", id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return true
	}
	return false
}

// answerEarly answers a request of a plain service before it has read the body, which it
// reads and checks afterwards.
func (t *target) answerEarly(w http.ResponseWriter, r *http.Request, id string) bool {
	if t.pool == "engines" {
		return false
	}
	defer t.site.recordRun(id, t.id)()
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Server-Seal", "seal-"+t.id)
	body := "answer " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = fmt.Fprint(w, body)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(rand.N(maxExtraDelay))
	got, err := io.ReadAll(r.Body)
	if want := question(id); err == nil && !bytes.Equal(got, want) {
		t.site.reportViolation("request %s has another body of %d bytes at %s", id, len(got), t.id)
	}
	return true
}

// answerRaw runs a request and writes an answer that net/http would not write.
func (t *target) answerRaw(w http.ResponseWriter, r *http.Request, kind trouble, id string) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	defer t.site.recordRun(id, t.id)()
	head := []string{"HTTP/1.1 200 OK", "Fireflypier-Request-Id: " + id, "Fireflypier-Server-Seal: seal-" + t.id}
	body, _ := strings.CutPrefix(expected(id, kindOf(r)), events(id, 0, lastEvent(r)))
	whole := rawAnswer(head, body)
	data := strings.Join(head, "\r\n") + "\r\n\r\n" + body
	if kind == garbles {
		data = []string{whole[:rand.IntN(len(whole))], "garbage\r\n" + whole, whole + "garbage", whole + rawAnswer(head, "more")}[rand.IntN(4)]
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.Write([]byte(data))
	if kind == garbles {
		time.Sleep(rand.N(maxExtraDelay))
	}
	_ = c.Close()
	return true
}

// streamWithoutNumbers runs a request for a stream, sends events without numbers and
// breaks off.
func (t *target) streamWithoutNumbers(w http.ResponseWriter, r *http.Request, id string) bool {
	if t.pool != "engines" {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	defer t.site.recordRun(id, t.id)()
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Server-Seal", "seal-"+t.id)
	for range 1 + rand.IntN(3) {
		_, _ = fmt.Fprintf(w, "data: unnumbered %s\n\n", id)
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// kindOf returns the kind of a request, which begins its path.
func kindOf(r *http.Request) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return kind
}

// lastEvent returns the number of the event after which a request resumes; zero for none.
func lastEvent(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return last
}

// silenceOpen has the connections that are open to one engine after another go silent until
// ctx ends.
func (s *testSite) silenceOpen(ctx context.Context) {
	for ctx.Err() == nil {
		p := s.oneOfEachPool()["engines"].proxy
		p.SetFault(faultproxy.Fault{FreezeOpen: true})
		time.Sleep(silenceTime)
		p.SetFault(faultproxy.Fault{})
	}
}

func (t *target) setTrouble(kind trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = kind
}

func (t *target) currentTrouble() trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trouble
}

// stallAt returns the event before which a stream stalls, zero for none, and the time for
// which its run goes on after the connection was closed.
func (t *target) stallAt() (event int, late time.Duration) {
	share := troubleShare
	switch t.currentTrouble() {
	case stalls:
	case goesOn:
		late = lateTime
	case silencesOpen:
		share = silentShare
	default:
		return 0, 0
	}
	if rand.Float64() >= share {
		return 0, 0
	}
	return 1 + rand.IntN(eventsPerAnswer), late
}
