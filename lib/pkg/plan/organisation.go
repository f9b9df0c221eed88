package plan

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"math"
	"slices"
	"strings"
	"unicode"

	"rosemarygrade.dev/lib/pkg/fault"
)

// KeyHash is the SHA-256 hash of an organisation's key. Keys are secrets, so that only their hashes are stored, exchanged between hosts
// and compared. The zero value means that there is no key.
type KeyHash [sha256.Size]byte

// fingerprintBytes is the length of a fingerprint: too short to look up a weak key in a table of hashes without many false matches.
const fingerprintBytes = 4

// HashKey returns the hash of a key, or the zero value for an empty one.
func HashKey(key string) KeyHash {
	if key == "" {
		return KeyHash{}
	}
	return sha256.Sum256([]byte(key))
}

// IsZero reports whether there is no key.
func (h KeyHash) IsZero() bool { return h == KeyHash{} }

// Fingerprint returns the first 8 hexadecimal digits of the hash, by which operators tell the keys of an organisation apart.
func (h KeyHash) Fingerprint() string { return hex.EncodeToString(h[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Its errors have the kind KindInvalid and do not contain the text.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := base64.RawStdEncoding.Strict().AppendDecode(nil, text)
	if err != nil || len(decoded) != len(h) {
		return fault.New("decode key hash", KindInvalid, "not the base64 text of a hash")
	}
	copy(h[:], decoded)
	return nil
}

// OrganisationSpec is the desired state of an organisation, whose callers identify themselves by one of its keys.
type OrganisationSpec struct {
	Name      string    `json:"name"`
	KeyHashes []KeyHash `json:"keyHashes,omitempty"`
	// Priority takes the place of the route's priority; nil means that the route's counts.
	Priority *int `json:"priority,omitempty"`
	// AllowedRegions lists the regions that may serve the organisation's requests; empty means all.
	AllowedRegions []string `json:"homes,omitempty"`
	// RatePerSecond and Burst limit the requests that run, summed over all hosts; a rate of 0 means no limit.
	RatePerSecond float64 `json:"perSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Organisation is a validated organisation.
type Organisation struct{ spec OrganisationSpec }

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.spec.Name }

// KeyHashes returns the hashes of the organisation's keys. It must not be changed.
func (o *Organisation) KeyHashes() []KeyHash { return o.spec.KeyHashes }

// Priority returns the priority that takes the place of a route's, and whether there is one.
func (o *Organisation) Priority() (int, bool) {
	if o.spec.Priority == nil {
		return 0, false
	}
	return *o.spec.Priority, true
}

// Allows reports whether a region may serve the organisation's requests.
func (o *Organisation) Allows(region string) bool {
	return len(o.spec.AllowedRegions) == 0 || slices.Contains(o.spec.AllowedRegions, region)
}

// AllowedRegions returns the regions that may serve the organisation's requests; empty means all. It must not be changed.
func (o *Organisation) AllowedRegions() []string { return o.spec.AllowedRegions }

// RatePerSecond returns how many requests a second may run, summed over all hosts; 0 means no limit.
func (o *Organisation) RatePerSecond() float64 { return o.spec.RatePerSecond }

// Burst returns by how many requests a burst may exceed the rate, summed over all hosts.
func (o *Organisation) Burst() float64 { return o.spec.Burst }

// addOrganisation validates an organisation and adds it to the configuration.
func (c *Config) addOrganisation(spec OrganisationSpec) error {
	if !isHeaderValue(spec.Name) {
		return invalid("organisation name %q is empty or can't be the value of a header", spec.Name)
	}
	if c.organisations[spec.Name] != nil {
		return invalid("organisation name %q is used twice", spec.Name)
	}
	if !isLimit(spec.RatePerSecond) || !isLimit(spec.Burst) {
		return invalid("organisation %q has a negative limit", spec.Name)
	}
	o := &Organisation{spec: spec}
	c.organisations[spec.Name] = o
	for _, hash := range spec.KeyHashes {
		if hash.IsZero() {
			return invalid("organisation %q has an empty key", spec.Name)
		}
		if other := c.byKey[hash]; other != nil && other != o {
			return invalid("organisations %q and %q have a key in common", other.spec.Name, spec.Name)
		}
		c.byKey[hash] = o
	}
	return nil
}

// isHeaderValue reports whether a name arrives unchanged as the value of a header: control characters would end the header line, and
// receivers remove spaces around the value.
func isHeaderValue(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}

func isLimit(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// RequiresKeys reports whether requests on routes that are not public need the key of an organisation.
func (c *Config) RequiresKeys() bool { return c.spec.RequiresKeys }

// Organisation returns the organisation that has the key with this hash, and whether there is one.
func (c *Config) Organisation(key KeyHash) (*Organisation, bool) {
	o, found := c.byKey[key]
	return o, found
}

// OrganisationByName returns the organisation with that name, or nil.
func (c *Config) OrganisationByName(name string) *Organisation { return c.organisations[name] }

// Organisations returns all organisations, sorted by name.
func (c *Config) Organisations() []*Organisation {
	out := make([]*Organisation, 0, len(c.organisations))
	for _, o := range c.organisations {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *Organisation) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	return out
}
