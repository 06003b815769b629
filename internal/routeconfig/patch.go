package routeconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// Patch is a change of named items of a document. It works on the JSON text instead of the message type, so that fields that this
// version doesn't know stay as the operator sent them.
type Patch struct {
	Version uint64 // of the patched document
	lists   []listPatch
}

// listPatch is the change of one list.
type listPatch struct {
	name   string
	upsert []item
	remove []string
}

// item is a named item of a list.
type item struct {
	name string
	text json.RawMessage
}

// The keys of a patch.
const (
	versionKey = "Version"
	upsertKey  = "Upsert"
	removeKey  = "Remove"
	tenantsKey = "Tenants"
)

// knownLists are the lists of named items that a patch may add to a document. It may change other lists only if the document has
// them.
var knownLists = []string{"Routes", "Services", tenantsKey}

// ParsePatch parses a patch. Its error names the list, the item and the field.
func ParsePatch(data []byte) (*Patch, error) {
	fields, err := parseObject("patch", data)
	if err != nil {
		return nil, err
	}
	patch := &Patch{}
	for _, field := range fields {
		switch field.key {
		case versionKey:
			if err := json.Unmarshal(field.value, &patch.Version); err != nil {
				return nil, Error.New("%s: want a whole number, not %s", versionKey, quoteValue(versionKey, field.value))
			}
		case upsertKey:
			err = patch.parseUpsert(field.value)
		case removeKey:
			err = patch.parseRemove(field.value)
		default:
			err = Error.New("%s: a patch has no such field", field.key)
		}
		if err != nil {
			return nil, err
		}
	}
	if patch.Version == 0 {
		return nil, Error.New("%s: want a number above 0", versionKey)
	}
	return patch, patch.validateNames()
}

// listNamed returns the change of the list with this name. It adds an empty one if there is none.
func (p *Patch) listNamed(name string) *listPatch {
	i := slices.IndexFunc(p.lists, func(l listPatch) bool { return l.name == name })
	if i < 0 {
		p.lists = append(p.lists, listPatch{name: name})
		i = len(p.lists) - 1
	}
	return &p.lists[i]
}

// parseUpsert parses the items to replace or add, by list.
func (p *Patch) parseUpsert(data json.RawMessage) error {
	lists, err := parseObject(upsertKey, data)
	if err != nil {
		return err
	}
	for _, list := range lists {
		items, err := parseItems(upsertKey+"."+list.key, list.value)
		if err != nil {
			return err
		}
		p.listNamed(list.key).upsert = items
	}
	return nil
}

// parseRemove parses the names of items to remove, by list.
func (p *Patch) parseRemove(data json.RawMessage) error {
	lists, err := parseObject(removeKey, data)
	if err != nil {
		return err
	}
	for _, list := range lists {
		var names []string
		if err := json.Unmarshal(list.value, &names); err != nil {
			return Error.New("%s.%s: want a list of names, not %s", removeKey, list.key, describeValue(list.value))
		}
		p.listNamed(list.key).remove = names
	}
	return nil
}

// validateNames returns an error if an item is changed twice, since the result would depend on the order.
func (p *Patch) validateNames() error {
	for _, list := range p.lists {
		seen := map[string]bool{}
		for _, item := range list.upsert {
			if seen[item.name] {
				return Error.New("%s.%s: %q stands twice", upsertKey, list.name, item.name)
			}
			seen[item.name] = true
		}
		for _, name := range list.remove {
			if seen[name] {
				return Error.New("%s.%s: %q is changed as well, or stands twice", removeKey, list.name, name)
			}
			seen[name] = true
		}
	}
	return nil
}

// Apply returns the patched document. Replaced items keep their positions, new ones are appended. The result is not validated.
// The same patch of the same document gives the same bytes.
func (p *Patch) Apply(config []byte) ([]byte, error) {
	fields, err := parseObject("configuration", config)
	if err != nil {
		return nil, err
	}
	fields = setField(fields, versionKey, json.RawMessage(strconv.FormatUint(p.Version, 10)))
	for _, list := range p.lists {
		i := slices.IndexFunc(fields, func(f jsonField) bool { return f.key == list.name })
		if i < 0 && !slices.Contains(knownLists, list.name) {
			return nil, Error.New("%s: a configuration has no such list", list.name)
		}
		var current []item
		if i >= 0 {
			if current, err = parseItems(list.name, fields[i].value); err != nil {
				return nil, err
			}
		}
		if current, err = list.apply(current); err != nil {
			return nil, err
		}
		fields = setField(fields, list.name, encodeItems(current))
	}
	return encodeObject(fields), nil
}

// apply returns the items of a list after the change. It may modify current.
func (l *listPatch) apply(current []item) ([]item, error) {
	for _, name := range l.remove {
		i := slices.IndexFunc(current, func(other item) bool { return other.name == name })
		if i < 0 {
			return nil, Error.New("%s.%s: there is no %q", removeKey, l.name, name)
		}
		current = slices.Delete(current, i, i+1)
	}
	for _, changed := range l.upsert {
		i := slices.IndexFunc(current, func(other item) bool { return other.name == changed.name })
		if i < 0 {
			current = append(current, changed)
		} else {
			current[i] = changed
		}
	}
	return current, nil
}

// parseItems parses a list of objects with names. path names the list in errors.
func parseItems(path string, data json.RawMessage) ([]item, error) {
	var texts []json.RawMessage
	if err := json.Unmarshal(data, &texts); err != nil {
		return nil, Error.New("%s: want a list, not %s", path, describeValue(data))
	}
	list := make([]item, 0, len(texts))
	for i, text := range texts {
		var named struct {
			Name string `json:"Name"`
		}
		if err := json.Unmarshal(text, &named); err != nil {
			return nil, Error.New("%s[%d]: want an object with a Name, not %s", path, i, describeValue(text))
		}
		if named.Name == "" {
			return nil, Error.New("%s[%d].Name: a name is missing", path, i)
		}
		list = append(list, item{named.Name, text})
	}
	return list, nil
}

// encodeItems encodes items as a JSON list.
func encodeItems(list []item) json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('[')
	for i, item := range list {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(item.text)
	}
	out.WriteByte(']')
	return out.Bytes()
}
