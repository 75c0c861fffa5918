// Package statedump lets tests look into values with all their unexported fields: whether a value has changed, and what
// two values share.
package statedump

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Dump returns a text of a value and of all that it refers to. Pointers are followed, each once; functions and channels
// are left out. Maps are sorted, so that equal values have equal texts.
func Dump(v any) string {
	d := dumper{seen: map[uintptr]int{}}
	var b strings.Builder
	d.dump(&b, reflect.ValueOf(v))
	return b.String()
}

type dumper struct{ seen map[uintptr]int }

func (d *dumper) dump(b *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		d.dumpPointer(b, v)
	case reflect.Interface:
		if v.IsNil() {
			b.WriteString("nil")
			return
		}
		b.WriteString(v.Elem().Type().String())
		d.dump(b, v.Elem())
	case reflect.Struct:
		b.WriteString("{")
		for i := range v.NumField() {
			b.WriteString(v.Type().Field(i).Name + ":")
			d.dump(b, v.Field(i))
			b.WriteString("\n")
		}
		b.WriteString("}")
	case reflect.Slice, reflect.Array:
		b.WriteString("[")
		for i := range v.Len() {
			d.dump(b, v.Index(i))
			b.WriteString(",")
		}
		b.WriteString("]")
	case reflect.Map:
		d.dumpMap(b, v)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer, reflect.Invalid:
	default:
		fmt.Fprint(b, v)
	}
}

func (d *dumper) dumpPointer(b *strings.Builder, v reflect.Value) {
	if v.IsNil() {
		b.WriteString("nil")
		return
	}
	if n, ok := d.seen[v.Pointer()]; ok {
		fmt.Fprintf(b, "&%d", n)
		return
	}
	d.seen[v.Pointer()] = len(d.seen)
	b.WriteString("&")
	d.dump(b, v.Elem())
}

// dumpMap writes the entries in the order of their keys, so that pointers are numbered alike each time.
func (d *dumper) dumpMap(b *strings.Builder, v reflect.Value) {
	type entry struct {
		key   string
		value reflect.Value
	}
	var entries []entry
	for iter := v.MapRange(); iter.Next(); {
		entries = append(entries, entry{fmt.Sprint(iter.Key()), iter.Value()})
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	b.WriteString("map[")
	for _, e := range entries {
		b.WriteString(e.key + ":")
		d.dump(b, e.value)
		b.WriteString("\n")
	}
	b.WriteString("]")
}

// Shared returns the paths in a of the pointers, maps and slices that b refers to as well, sorted. Below a shared value it
// does not look further. Functions, channels and strings don't count.
func Shared(a, b any) []string {
	inB := map[uintptr]bool{}
	walk(reflect.ValueOf(b), "", map[uintptr]bool{}, func(at uintptr, _ string) bool {
		inB[at] = true
		return true
	})
	var shared []string
	walk(reflect.ValueOf(a), "", map[uintptr]bool{}, func(at uintptr, path string) bool {
		if inB[at] {
			shared = append(shared, strings.TrimPrefix(path, "."))
		}
		return !inB[at]
	})
	slices.Sort(shared)
	return slices.Compact(shared)
}

// walk calls visit with the address and the path of each pointer, map and slice, and looks below those for which it
// returns true. Elements of maps and slices have the path [].
func walk(v reflect.Value, path string, seen map[uintptr]bool, visit func(at uintptr, path string) bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice:
		empty := v.IsNil() || v.Kind() == reflect.Slice && v.Cap() == 0 || v.Kind() == reflect.Pointer && v.Type().Elem().Size() == 0
		if empty || seen[v.Pointer()] {
			return
		}
		if v.Kind() != reflect.Slice {
			seen[v.Pointer()] = true
		}
		if !visit(v.Pointer(), path) {
			return
		}
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			walk(v.Elem(), path, seen, visit)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			walk(v.Field(i), path+"."+v.Type().Field(i).Name, seen, visit)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			walk(v.Index(i), path+"[]", seen, visit)
		}
	case reflect.Map:
		for iter := v.MapRange(); iter.Next(); {
			walk(iter.Key(), path+"[key]", seen, visit)
			walk(iter.Value(), path+"[]", seen, visit)
		}
	}
}
