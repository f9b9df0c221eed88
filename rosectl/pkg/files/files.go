// Package files reads objects from JSON files and checks them.
package files

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/model"
	"rosemarygrade.dev/lib/pkg/wire"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindRead means that a file could not be read.
	KindRead Kind = "read"
	// KindSyntax means that a file is not valid JSON or that an object has an unknown field.
	KindSyntax Kind = "syntax"
	// KindInvalid means that an object breaks a rule of its kind or is given more than once.
	KindInvalid Kind = "invalid"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Read returns the objects of a file, which holds a sequence of JSON objects and arrays of objects. The
// name "-" means in, the standard input. Errors are of KindRead or KindSyntax.
func Read(name string, in io.Reader) ([]wire.Object, error) {
	data, err := read(name, in)
	if err != nil {
		return nil, fault.Wrap("read "+name, KindRead, err)
	}
	var out []wire.Object
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fault.Wrap("read "+name, KindSyntax, err)
		}
		objects, err := decode(raw)
		if err != nil {
			return nil, fault.Wrap("read "+name, KindSyntax, err)
		}
		out = append(out, objects...)
	}
}

func read(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

// decode decodes one object or one array of objects.
func decode(raw json.RawMessage) ([]wire.Object, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		var list []wire.Object
		err := dec.Decode(&list)
		return list, err
	}
	var one wire.Object
	err := dec.Decode(&one)
	return []wire.Object{one}, err
}

// Check returns an error of KindInvalid, with the path and the reason, for the first object that is
// invalid or repeated, or nil.
func Check(objects []wire.Object) error {
	seen := map[[2]string]bool{}
	for _, o := range objects {
		if o.Kind == wire.KindHosts {
			return invalid(o, "this kind is made by the system")
		}
		if _, err := model.Parse(o.Kind, o.Name, o.Spec); err != nil {
			return fault.Wrap(o.Kind+"/"+o.Name, KindInvalid, err)
		}
		id := [2]string{o.Kind, o.Name}
		if seen[id] {
			return invalid(o, "stands twice")
		}
		seen[id] = true
	}
	return nil
}

func invalid(o wire.Object, reason string) error {
	return fault.New(o.Kind+"/"+o.Name, KindInvalid, fmt.Sprintf("kind: %s", reason))
}
