package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// envPrefix starts the name of the environment variable of every setting.
const envPrefix = "PRIMROSESPOKE_"

// Key describes one setting, as the struct tags of its field give it.
type Key struct {
	// Path is the names of the sections and of the key, joined by dots.
	Path string
	// Default is the text of the value that is used where none is given.
	Default string
	// Unit is the unit of the value; empty where it has none.
	Unit string
	// Doc describes the setting.
	Doc string

	rule       string
	fieldIndex []int
	fieldType  reflect.Type
}

// Env returns the name of the environment variable for the key.
func (k Key) Env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(k.Path, ".", "_"))
}

// Keys returns every setting in the order of the fields of Settings.
func Keys() []Key {
	return keysOf(reflect.TypeFor[Settings](), "", nil)
}

// keysOf returns the settings of a struct type and of its nested structs. The prefix and
// the index lead to that struct from Settings.
func keysOf(t reflect.Type, prefix string, index []int) []Key {
	var keys []Key
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("yaml")
		field := append(append([]int{}, index...), i)
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(f.Type, path+".", field)...)
			continue
		}
		keys = append(keys, Key{
			Path:       path,
			Default:    f.Tag.Get("default"),
			Unit:       f.Tag.Get("unit"),
			Doc:        f.Tag.Get("doc"),
			rule:       f.Tag.Get("check"),
			fieldIndex: field,
			fieldType:  f.Type,
		})
	}
	return keys
}

// set parses text into the key's field of s.
func (k Key) set(s *Settings, text string) error {
	field := reflect.ValueOf(s).Elem().FieldByIndex(k.fieldIndex)
	switch {
	case k.fieldType == reflect.TypeFor[time.Duration]():
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Errorf("%q is not a duration (examples: 250ms, 10s, 5m)", text)
		}
		field.SetInt(int64(d))
	case k.fieldType.Kind() == reflect.Int || k.fieldType.Kind() == reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.Errorf("%q is not an integer", text)
		}
		field.SetInt(n)
	case k.fieldType.Kind() == reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", text)
		}
		field.SetFloat(n)
	case k.fieldType.Kind() == reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", text)
		}
		field.SetBool(b)
	default:
		field.SetString(text)
	}
	return nil
}
