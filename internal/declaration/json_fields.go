package declaration

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxQuotedBytes bounds a name of a document in an error.
const maxQuotedBytes = 64

// shorten returns the text, truncated for an error.
func shorten(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// jsonField is one field of a JSON object.
type jsonField struct {
	name  string
	value json.RawMessage
}

// errNotObject is the error for a JSON value that is not an object.
var errNotObject = errors.New("not a JSON object")

// jsonFields returns the fields of a JSON object in their order. A name that is given twice is returned twice.
func jsonFields(object []byte) ([]jsonField, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('{') {
		return nil, errNotObject
	}
	var fields []jsonField
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, errNotObject
		}
		var field jsonField
		field.name, _ = name.(string)
		if err := decoder.Decode(&field.value); err != nil {
			return nil, errNotObject
		}
		fields = append(fields, field)
	}
	return fields, nil
}

// hasField reports whether one of the fields has the name.
func hasField(fields []jsonField, name string) bool {
	return slices.ContainsFunc(fields, func(field jsonField) bool { return field.name == name })
}

// checkFields returns an error for the first field in the JSON value that package json would leave out without an error: one that the
// type does not have, that an object has twice, or whose value is null and needs another one. Names must be those of the type letter
// by letter, although package json reads others, too. Values of another type are left to the decoding.
func checkFields(value []byte, t reflect.Type) error {
	if t == reflect.TypeFor[json.RawMessage]() {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return checkFields(value, t.Elem())
	case reflect.Slice:
		return checkElements(value, t.Elem())
	case reflect.Struct:
		return checkObject(value, t)
	}
	return nil
}

func checkElements(list []byte, element reflect.Type) error {
	var values []json.RawMessage
	if json.Unmarshal(list, &values) != nil {
		return nil
	}
	for _, value := range values {
		if isNull(value) && !isNullable(element) {
			return errors.New("an element of a list is null")
		}
		if err := checkFields(value, element); err != nil {
			return err
		}
	}
	return nil
}

func isNull(value json.RawMessage) bool { return string(value) == "null" }

func isNullable(t reflect.Type) bool { return t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice }

func checkObject(object []byte, t reflect.Type) error {
	fields, err := jsonFields(object)
	if err != nil {
		return nil
	}
	known := typesByName(t)
	seen := make(map[string]bool, len(fields))
	for _, field := range fields {
		fieldType, ok := known[field.name]
		if !ok {
			return errors.Errorf("field %q is not known to this build", shorten(field.name))
		}
		if seen[field.name] {
			return errors.Errorf("field %q is given twice", field.name)
		}
		seen[field.name] = true
		if isNull(field.value) && !isNullable(fieldType) {
			return errors.Errorf("field %q is null", field.name)
		}
		if err := checkFields(field.value, fieldType); err != nil {
			return err
		}
	}
	return nil
}

// typesByName returns the types of the fields of a struct by their names in JSON. Fields of the struct take precedence over
// those of embedded ones.
func typesByName(t reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		if field := t.Field(i); field.Anonymous {
			for name, embedded := range typesByName(field.Type) {
				known[name] = embedded
			}
		}
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.Anonymous && name != "" && name != "-" {
			known[name] = field.Type
		}
	}
	return known
}
