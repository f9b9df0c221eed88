package model

import "rosemarygrade.dev/lib/pkg/fault"

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindSyntax means that a spec is not valid JSON or has an unknown field.
	KindSyntax Kind = "syntax"
	// KindField means that the value of a field is not allowed.
	KindField Kind = "field"
	// KindUnknown means that the object has a kind that does not exist.
	KindUnknown Kind = "unknownKind"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

func fieldError(path, reason string) error {
	return fault.New("parse", KindField, path+": "+reason)
}
