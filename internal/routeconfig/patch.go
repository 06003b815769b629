package routeconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
)

// Patch is a change of named items of a configuration. It goes by the JSON text, not by the types: fields of items that this version
// doesn't know stay as the operator sent them.
type Patch struct {
	Version uint64
	lists   []listPatch
}

// listPatch is what changes in one list.
type listPatch struct {
	name   string
	upsert []item
	remove []string
}

// item is an element of a list.
type item struct {
	name string
	text json.RawMessage
}

// member is a field of a JSON object, in its place.
type member struct {
	key   string
	value json.RawMessage
}

// The fields of a patch.
const (
	patchVersion = "Version"
	patchUpsert  = "Upsert"
	patchRemove  = "Remove"
)

// knownLists are the lists of a configuration whose items bear names. Others are known where a configuration holds them.
var knownLists = []string{"Routes", "Services"}

// ParsePatch reads a patch. Its error names the list, the item and the field.
func ParsePatch(data []byte) (*Patch, error) {
	fields, err := object("patch", data)
	if err != nil {
		return nil, err
	}
	patch := &Patch{}
	for _, field := range fields {
		switch field.key {
		case patchVersion:
			if err := json.Unmarshal(field.value, &patch.Version); err != nil {
				return nil, Error.New("%s: want a whole number, not %s", patchVersion, short(field.value))
			}
		case patchUpsert:
			err = patch.readUpsert(field.value)
		case patchRemove:
			err = patch.readRemove(field.value)
		default:
			err = Error.New("%s: a patch has no such field", field.key)
		}
		if err != nil {
			return nil, err
		}
	}
	if patch.Version == 0 {
		return nil, Error.New("%s: want a number above 0", patchVersion)
	}
	return patch, patch.checkNames()
}

// list returns the changes of a list, which are made where there are none.
func (p *Patch) list(name string) *listPatch {
	i := slices.IndexFunc(p.lists, func(l listPatch) bool { return l.name == name })
	if i < 0 {
		p.lists = append(p.lists, listPatch{name: name})
		i = len(p.lists) - 1
	}
	return &p.lists[i]
}

func (p *Patch) readUpsert(data json.RawMessage) error {
	lists, err := object(patchUpsert, data)
	if err != nil {
		return err
	}
	for _, list := range lists {
		items, err := items(patchUpsert+"."+list.key, list.value)
		if err != nil {
			return err
		}
		p.list(list.key).upsert = items
	}
	return nil
}

func (p *Patch) readRemove(data json.RawMessage) error {
	lists, err := object(patchRemove, data)
	if err != nil {
		return err
	}
	for _, list := range lists {
		var names []string
		if err := json.Unmarshal(list.value, &names); err != nil {
			return Error.New("%s.%s: want a list of names, not %s", patchRemove, list.key, short(list.value))
		}
		p.list(list.key).remove = names
	}
	return nil
}

// checkNames finds names that are changed twice: what would come of them is not said.
func (p *Patch) checkNames() error {
	for _, list := range p.lists {
		seen := map[string]bool{}
		for _, item := range list.upsert {
			if seen[item.name] {
				return Error.New("%s.%s: %q stands twice", patchUpsert, list.name, item.name)
			}
			seen[item.name] = true
		}
		for _, name := range list.remove {
			if seen[name] {
				return Error.New("%s.%s: %q is changed as well, or stands twice", patchRemove, list.name, name)
			}
			seen[name] = true
		}
	}
	return nil
}

// Apply returns the configuration that a patch makes of another. Items that are replaced keep their places, new ones come behind.
func (p *Patch) Apply(config []byte) ([]byte, error) {
	fields, err := object("configuration", config)
	if err != nil {
		return nil, err
	}
	fields = set(fields, patchVersion, json.RawMessage(strconv.FormatUint(p.Version, 10)))
	for _, list := range p.lists {
		i := slices.IndexFunc(fields, func(f member) bool { return f.key == list.name })
		if i < 0 && !slices.Contains(knownLists, list.name) {
			return nil, Error.New("%s: a configuration has no such list", list.name)
		}
		var current []item
		if i >= 0 {
			if current, err = items(list.name, fields[i].value); err != nil {
				return nil, err
			}
		}
		if current, err = list.apply(current); err != nil {
			return nil, err
		}
		fields = set(fields, list.name, encodeItems(current))
	}
	return encodeObject(fields), nil
}

func (l *listPatch) apply(current []item) ([]item, error) {
	for _, name := range l.remove {
		i := slices.IndexFunc(current, func(other item) bool { return other.name == name })
		if i < 0 {
			return nil, Error.New("%s.%s: there is no %q", patchRemove, l.name, name)
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

// set replaces a field or adds it behind the others.
func set(fields []member, key string, value json.RawMessage) []member {
	i := slices.IndexFunc(fields, func(f member) bool { return f.key == key })
	if i < 0 {
		return append(fields, member{key, value})
	}
	fields[i].value = value
	return fields
}

// object reads the fields of a JSON object in their order. place is for the error.
func object(place string, data []byte) ([]member, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	begin, err := decoder.Token()
	if err != nil || begin != json.Delim('{') {
		return nil, Error.New("%s: want an object, not %s", place, short(data))
	}
	var fields []member
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, Error.New("%s: %v", place, err)
		}
		field := member{key: key.(string)} // the decoder returns nothing else for a key
		if err := decoder.Decode(&field.value); err != nil {
			return nil, Error.New("%s.%s: %v", place, field.key, err)
		}
		if slices.ContainsFunc(fields, func(f member) bool { return f.key == field.key }) {
			return nil, Error.New("%s.%s: stands twice", place, field.key)
		}
		fields = append(fields, field)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, Error.New("%s: %v", place, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, Error.New("%s: something stands behind the object", place)
	}
	return fields, nil
}

// items reads a list of objects that bear names.
func items(place string, data json.RawMessage) ([]item, error) {
	var texts []json.RawMessage
	if err := json.Unmarshal(data, &texts); err != nil {
		return nil, Error.New("%s: want a list, not %s", place, short(data))
	}
	list := make([]item, 0, len(texts))
	for i, text := range texts {
		var named struct {
			Name string `json:"Name"`
		}
		if err := json.Unmarshal(text, &named); err != nil {
			return nil, Error.New("%s[%d]: want an object with a Name, not %s", place, i, short(text))
		}
		if named.Name == "" {
			return nil, Error.New("%s[%d].Name: a name is missing", place, i)
		}
		list = append(list, item{named.Name, text})
	}
	return list, nil
}

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

func encodeObject(fields []member) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, field := range fields {
		if i > 0 {
			out.WriteByte(',')
		}
		key, _ := json.Marshal(field.key) // a string always marshals
		out.Write(key)
		out.WriteByte(':')
		out.Write(field.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// short cuts a text for an error of one line.
func short(text []byte) string {
	const most = 40
	if len(text) > most {
		text = append(slices.Clone(text[:most]), "..."...)
	}
	return strconv.Quote(string(text))
}
