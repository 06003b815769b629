package routeconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
)

// jsonField is a field of a JSON object, in its place.
type jsonField struct {
	key   string
	value json.RawMessage
}

// setField replaces a field or adds it behind the others.
func setField(fields []jsonField, key string, value json.RawMessage) []jsonField {
	i := slices.IndexFunc(fields, func(f jsonField) bool { return f.key == key })
	if i < 0 {
		return append(fields, jsonField{key, value})
	}
	fields[i].value = value
	return fields
}

// parseObject reads the fields of a JSON object in their order. place is for the error.
func parseObject(path string, data []byte) ([]jsonField, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil || start != json.Delim('{') {
		return nil, Error.New("%s: want an object, not %s", path, abbreviate(data))
	}
	var fields []jsonField
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, Error.New("%s: %v", path, err)
		}
		field := jsonField{key: key.(string)} // the decoder returns nothing else for a key
		if err := decoder.Decode(&field.value); err != nil {
			return nil, Error.New("%s.%s: %v", path, field.key, err)
		}
		if slices.ContainsFunc(fields, func(f jsonField) bool { return f.key == field.key }) {
			return nil, Error.New("%s.%s: stands twice", path, field.key)
		}
		fields = append(fields, field)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, Error.New("%s: %v", path, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, Error.New("%s: something stands behind the object", path)
	}
	return fields, nil
}

func encodeObject(fields []jsonField) []byte {
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

// abbreviate cuts a text for an error of one line.
func abbreviate(text []byte) string {
	const maxBytes = 40
	if len(text) > maxBytes {
		text = append(slices.Clone(text[:maxBytes]), "..."...)
	}
	return strconv.Quote(string(text))
}
