package object

import (
	"encoding/json"

	"rosemarygrade.dev/lib/pkg/fault"
	"rosemarygrade.dev/lib/pkg/parts"
	"rosemarygrade.dev/lib/pkg/wire"
)

// unreadableSpec takes the place of a spec that package json refuses. It is a spec of no kind, so the version counts as invalid.
const unreadableSpec = `"unreadable"`

// decodeListing decodes the objects one by one, as package json refuses a listing as a whole where one of them is nested too deeply. Objects
// without a kind, a name or a version are left out.
func decodeListing(data []byte) (Listing, error) {
	var out Listing
	fields, err := parts.Members(data)
	if err != nil {
		return out, fault.Wrap("read listing", KindUnavailable, err)
	}
	if err := json.Unmarshal(fields["revision"], &out.Revision); err != nil {
		return out, fault.Wrap("read listing", KindUnavailable, err)
	}
	list, err := parts.Elements(fields["objects"])
	if err != nil {
		return out, fault.Wrap("read listing", KindUnavailable, err)
	}
	for _, item := range list {
		if o, ok := decodeObject(item); ok {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

// decodeObject reports whether the object has a kind, a name and a version. A status that can't be read is left out.
func decodeObject(data []byte) (wire.Object, bool) {
	var o wire.Object
	if json.Unmarshal(data, &o) == nil {
		return o, true
	}
	// What was decoded up to the fault does not count.
	o = wire.Object{}
	fields, err := parts.Members(data)
	if err != nil {
		return o, false
	}
	for name, field := range map[string]any{"kind": &o.Kind, "name": &o.Name, "version": &o.Version} {
		if json.Unmarshal(fields[name], field) != nil {
			return o, false
		}
	}
	if deleted := fields["deleted"]; deleted != nil && json.Unmarshal(deleted, &o.Deleted) != nil {
		return o, false
	}
	if o.Spec = fields["spec"]; !json.Valid(o.Spec) {
		o.Spec = json.RawMessage(unreadableSpec)
	}
	return o, true
}
