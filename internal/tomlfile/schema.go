package tomlfile

import (
	"reflect"
	"strings"
)

// schema maps each key that a type knows, without indexes, to its type.
type schema map[string]reflect.Type

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
		key := join(prefix, name)
		s[key] = field.Type
		if inner := elementOf(field.Type); inner.Kind() == reflect.Struct {
			s.addFields(key, inner)
		}
	}
}

// elementOf strips pointers and slices.
func elementOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// wanted says in words what a key's value must be.
func (s schema) wanted(plain string) string {
	t, ok := s[plain]
	if !ok {
		return "another type"
	}
	return typeWords(t)
}

func typeWords(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeWords(t.Elem())
	case reflect.Slice:
		return "an array of " + pluralWords(t.Elem())
	case reflect.Struct:
		return "a table"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "an integer from 0"
	default:
		return "an integer"
	}
}

func pluralWords(t reflect.Type) string {
	if t.Kind() == reflect.Struct {
		return "tables"
	}
	return "strings"
}
