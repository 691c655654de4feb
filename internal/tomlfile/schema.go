package tomlfile

import (
	"reflect"
	"strings"
)

// schema maps each key of a struct type, dotted and without indexes, to the type of its
// field.
type schema map[string]reflect.Type

// schemaOf returns the schema of a struct type from its toml tags.
func schemaOf(t reflect.Type) schema {
	s := schema{}
	s.addFields("", t)
	return s
}

func (s schema) addFields(prefix string, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		key := joinKey(prefix, name)
		s[key] = field.Type
		if inner := elementOf(field.Type); inner.Kind() == reflect.Struct {
			s.addFields(key, inner)
		}
	}
}

// elementOf returns the type that pointers and slices of t lead to.
func elementOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// expectedType describes the type that a key's value must have.
func (s schema) expectedType(schemaKey string) string {
	t, ok := s[schemaKey]
	if !ok {
		return "another type"
	}
	return describeType(t)
}

// describeType describes the TOML type that decodes into t.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Slice:
		return "an array of " + describeElements(t.Elem())
	case reflect.Struct:
		return "a table"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	default:
		return "an integer"
	}
}

// describeElements describes the elements of an array of t.
func describeElements(t reflect.Type) string {
	if t.Kind() == reflect.Struct {
		return "tables"
	}
	return "strings"
}
