package routeconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
)

// jsonField is a field of a JSON object. Lists of fields keep the order of the text.
type jsonField struct {
	key   string
	value json.RawMessage
}

// setField replaces a field in its position or appends it.
func setField(fields []jsonField, key string, value json.RawMessage) []jsonField {
	i := slices.IndexFunc(fields, func(f jsonField) bool { return f.key == key })
	if i < 0 {
		return append(fields, jsonField{key, value})
	}
	fields[i].value = value
	return fields
}

// parseObject parses the fields of a JSON object, in their order. path names the object in errors.
func parseObject(path string, data []byte) ([]jsonField, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil || start != json.Delim('{') {
		return nil, Error.New("%s: want an object, not %s", path, describeValue(data))
	}
	var fields []jsonField
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, Error.New("%s: %w", path, err)
		}
		field := jsonField{key: key.(string)} // a decoder returns keys as strings
		if err := decoder.Decode(&field.value); err != nil {
			return nil, Error.New("%s.%s: %w", path, field.key, err)
		}
		if slices.ContainsFunc(fields, func(f jsonField) bool { return f.key == field.key }) {
			return nil, Error.New("%s.%s: stands twice", path, field.key)
		}
		fields = append(fields, field)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, Error.New("%s: something stands behind the object", path)
	}
	return fields, nil
}

// encodeObject encodes fields as a JSON object.
func encodeObject(fields []jsonField) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, field := range fields {
		if i > 0 {
			out.WriteByte(',')
		}
		key, _ := json.Marshal(field.key) // never fails for a string
		out.Write(key)
		out.WriteByte(':')
		out.Write(field.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// quoteValue returns the description of a scalar field's value for an error. Danger: fields of tenants may hold credentials, so their values
// are not quoted.
func quoteValue(path string, value []byte) string {
	if strings.Contains(path, tenantsKey) {
		return "another value"
	}
	return abbreviate(value)
}

// describeValue returns the description of a value that is not the wanted object or list for an error. It names only the value's type, since the
// value may hold a credential.
func describeValue(value []byte) string {
	switch value = bytes.TrimSpace(value); {
	case bytes.HasPrefix(value, []byte("{")):
		return "an object"
	case bytes.HasPrefix(value, []byte("[")):
		return "a list"
	case bytes.HasPrefix(value, []byte(`"`)):
		return "a text"
	default:
		return "another value"
	}
}

// abbreviate quotes a text, truncated to a length that fits into a one-line error.
func abbreviate(text []byte) string {
	const maxBytes = 40
	if len(text) > maxBytes {
		text = append(slices.Clone(text[:maxBytes]), "..."...)
	}
	return strconv.Quote(string(text))
}
