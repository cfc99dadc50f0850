// Package document encodes and decodes JSON documents. It accepts comments, and
// decoding errors contain the file, line and column.
package document

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Error is an error in a document. Line and Column start at one; they are zero if
// the position is unknown.
type Error struct {
	// File is the name given to Decode.
	File string
	// Line and Column are the position of the error.
	Line, Column int
	// Path is the JSON pointer to the invalid value, or empty.
	Path string
	// Message describes the error.
	Message string
}

// Error returns "file:line:column: message (at path)".
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Path == "" {
		return location + ": " + e.Message
	}
	return fmt.Sprintf("%s: %s (at %s)", location, e.Message, e.Path)
}

func unmarshalDuration(dec *jsontext.Decoder, d *time.Duration) error {
	var text string
	if err := json.UnmarshalDecode(dec, &text); err != nil {
		return errors.New("a duration is a string such as \"1.5s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("a duration is a string such as \"1.5s\"")
	}
	*d = parsed
	return nil
}

func marshalDuration(enc *jsontext.Encoder, d time.Duration) error {
	return enc.WriteToken(jsontext.String(d.String()))
}

// Decode decodes data, JSON with comments and trailing commas, into v. It rejects
// unknown and duplicate names. The error, if any, is an *Error whose File is name.
// Durations are strings such as "1.5s".
func Decode(name string, data []byte, v any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{File: name, Message: err.Error()}
	}
	err = json.Unmarshal(plain, v,
		json.RejectUnknownMembers(true),
		Durations())
	if err == nil {
		return nil
	}
	return locate(name, data, err)
}

// Encode returns v as indented JSON with sorted names, which Decode accepts.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v,
		json.Deterministic(true),
		jsontext.WithIndent("  "),
		Durations())
	return data, errors.Wrap(err, "encode document")
}

// Marshal returns v as compact JSON with sorted names, for messages and stored
// objects. Durations are strings such as "1.5s".
func Marshal(v any) ([]byte, error) {
	data, err := json.Marshal(v, json.Deterministic(true), Durations())
	return data, errors.Wrap(err, "encode message")
}

// Unmarshal decodes the output of Marshal into v. It ignores unknown names, so that
// processes of different versions can exchange messages.
func Unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v, json.WithUnmarshalers(json.UnmarshalFromFunc(unmarshalDuration)))
	return errors.Wrap(err, "decode message")
}

// Durations returns the JSON options that encode durations as strings such as "1.5s"
// and decode them.
func Durations() json.Options {
	return json.JoinOptions(
		json.WithMarshalers(json.MarshalToFunc(marshalDuration)),
		json.WithUnmarshalers(json.UnmarshalFromFunc(unmarshalDuration)))
}

func locate(name string, data []byte, err error) error {
	e := &Error{File: name, Message: err.Error()}
	var offset int64
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		offset = semantic.ByteOffset
		e.Path = string(semantic.JSONPointer)
		if semantic.Err != nil {
			e.Message = semantic.Err.Error()
		}
	case errors.As(err, &syntactic):
		offset = syntactic.ByteOffset
		e.Path = string(syntactic.JSONPointer)
		e.Message = syntactic.Err.Error()
	default:
		return e
	}
	e.Line, e.Column = position(data, offset)
	return e
}

func position(data []byte, offset int64) (line, column int) {
	head := data[:min(int(offset), len(data))]
	line = 1 + bytes.Count(head, []byte("\n"))
	column = len(head) - bytes.LastIndexByte(head, '\n')
	return line, column
}
