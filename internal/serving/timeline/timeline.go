// Package timeline merges the log lines of one request, from the logs of any
// number of VMs, in order of time.
package timeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
)

// maxLine is the maximum length of a log line in bytes; the lines of a node are
// shorter than 1 KB.
const maxLine = 1 << 20

// Line is one log line of the request.
type Line struct {
	// At is the time of the line, VM the VM that logged it.
	At time.Time
	VM string
	// Level and Message are those of the line, Fields its other values as JSON,
	// without the request ID.
	Level, Message string
	Fields         map[string]jsontext.Value
}

// Timeline collects the log lines of one request. It is not safe for concurrent
// use.
type Timeline struct {
	id    string
	lines []Line
}

// New returns an empty timeline of the request with an ID.
func New(id string) *Timeline { return &Timeline{id: id} }

// Read adds the request's lines from a log. It skips lines without a JSON object
// or a valid time, and any text before the object. A line longer than maxLine is
// an error.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(s.id)) {
			continue
		}
		if line, ok := s.decode(text[start:]); ok {
			s.lines = append(s.lines, line)
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (s *Timeline) decode(text []byte) (Line, bool) {
	fields := make(map[string]jsontext.Value)
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	if unquote(fields["request"]) != s.id {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, unquote(fields["@timestamp"]))
	if err != nil {
		return Line{}, false
	}
	line := Line{At: at, VM: unquote(fields["@module"]), Level: unquote(fields["@level"]), Message: unquote(fields["@message"]), Fields: fields}
	for name := range fields {
		if strings.HasPrefix(name, "@") || name == "request" {
			delete(fields, name)
		}
	}
	return line, true
}

func unquote(v jsontext.Value) string {
	var text string
	if len(v) == 0 || json.Unmarshal(v, &text) != nil {
		return ""
	}
	return text
}

// Lines returns the lines in order of time.
func (s *Timeline) Lines() []Line {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].At.Before(s.lines[j].At) })
	return s.lines
}

// Print writes one text line for each log line, with the time since the first
// one in milliseconds.
func (s *Timeline) Print(w io.Writer) error {
	lines := s.Lines()
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var text strings.Builder
		for _, name := range names {
			fmt.Fprintf(&text, " %s=%s", name, line.Fields[name])
		}
		_, err := fmt.Fprintf(w, "%s +%dms %s: %s%s\n", line.At.Format("15:04:05.000"),
			line.At.Sub(lines[0].At).Milliseconds(), line.VM, line.Message, text.String())
		if err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}
