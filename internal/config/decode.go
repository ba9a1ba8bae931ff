package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decode decodes settings. Names in TOML are case-sensitive, but toml.Unmarshal also matches names that differ in case,
// so that a setting of a later release could replace one of another name. decode removes such settings first.
func decode(data []byte, c *Config) error {
	var table map[string]any
	if err := toml.Unmarshal(data, &table); err != nil {
		return err
	}
	if !removeOtherCase(table, reflect.TypeFor[Config]()) {
		return toml.Unmarshal(data, c) // errors have line numbers of the file
	}
	known, err := toml.Marshal(table)
	if err != nil {
		return fmt.Errorf("encode the known settings: %w", err)
	}
	return toml.Unmarshal(known, c)
}

// removeOtherCase removes from a decoded value, which is to be decoded as target, every setting whose name differs
// from that of a known setting in case only. It reports whether there were any.
func removeOtherCase(value any, target reflect.Type) (removed bool) {
	switch value := value.(type) {
	case []any:
		if target.Kind() != reflect.Slice {
			return false
		}
		for _, element := range value {
			removed = removeOtherCase(element, target.Elem()) || removed
		}
	case map[string]any:
		if target.Kind() == reflect.Pointer {
			target = target.Elem()
		}
		if target.Kind() != reflect.Struct {
			return false
		}
		for name, setting := range value {
			field, found := fieldFor(target, name)
			switch {
			case !found:
			case field.Tag.Get("toml") == name:
				removed = removeOtherCase(setting, field.Type) || removed
			default:
				delete(value, name)
				removed = true
			}
		}
	}
	return removed
}

// fieldFor returns the field of a struct type whose setting has this name, or one that differs in case only.
func fieldFor(target reflect.Type, name string) (field reflect.StructField, found bool) {
	for field := range target.Fields() {
		if strings.EqualFold(field.Tag.Get("toml"), name) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}
