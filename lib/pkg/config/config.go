// Package config loads the JSON settings of a process, checks them before anything starts, and runs the process.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"rosemarygrade.dev/lib/pkg/fault"
)

// Kind is the kind of an error of the package.
type Kind string

// Kinds of errors.
const (
	// KindRead means that the settings file could not be read.
	KindRead Kind = "read"
	// KindSyntax means that the settings are not valid JSON or have an unknown field.
	KindSyntax Kind = "syntax"
	// KindField means that the value of a field is not allowed.
	KindField Kind = "field"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

// Settings is implemented by the settings type of each process.
type Settings interface {
	// Check returns the error of the first invalid field, or nil.
	Check() error
}

// Load reads a JSON file into s, which holds the defaults, and checks the result.
func Load(path string, s Settings) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap("settings", KindRead, err)
	}
	return Decode(data, s)
}

// Decode reads JSON into s, which holds the defaults, and checks the result.
func Decode(data []byte, s Settings) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return fault.Wrap("settings", KindSyntax, err)
	}
	return s.Check()
}

// FieldError returns the error for a field whose value is invalid.
func FieldError(name, reason string) error {
	return fault.New("settings", KindField, name+": "+reason)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Checker runs checks on fields and keeps the first error.
type Checker struct{ err error }

// Err returns the first error, or nil.
func (c *Checker) Err() error { return c.err }

func (c *Checker) fail(name, reason string) {
	if c.err == nil {
		c.err = FieldError(name, reason)
	}
}

// Name checks that value is a name: 1 to 63 of a-z, 0-9, dot and hyphen, starting with a letter or digit.
func (c *Checker) Name(field, value string) {
	if !namePattern.MatchString(value) {
		c.fail(field, "must be 1 to 63 of a-z, 0-9, dot and hyphen")
	}
}

// Address checks that value is IP:port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(field, fmt.Sprintf("%q must be IP:port", value))
	}
}

// Addresses checks that every value is IP:port.
func (c *Checker) Addresses(field string, values []string) {
	for i, v := range values {
		c.Address(fmt.Sprintf("%s[%d]", field, i), v)
	}
}

// Millis checks that a number of milliseconds is from lowest to highest.
func (c *Checker) Millis(field string, value, lowest, highest int) {
	c.Range(field, value, lowest, highest)
}

// Range checks that a number is from lowest to highest.
func (c *Checker) Range(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.fail(field, fmt.Sprintf("%d must be %d to %d", value, lowest, highest))
	}
}

// Millis converts a number of milliseconds to a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Positive checks that a number is above 0.
func (c *Checker) Positive(field string, value float64) {
	if value <= 0 {
		c.fail(field, fmt.Sprintf("%g must be above 0", value))
	}
}
