// Package differ lists the differences between two declarations by path.
package differ

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// redactedDigest replaces the digests of API keys in differences.
const redactedDigest = "(digest)"

// Compare returns the differences from one declaration to another, sorted by path.
// An absent value is the empty string. Digests of API keys are redacted.
func Compare(from, to *schema.Declaration) []*schema.Difference {
	before, after := flatten(from), flatten(to)
	paths := make([]string, 0, len(before)+len(after))
	for path := range before {
		paths = append(paths, path)
	}
	for path := range after {
		if _, known := before[path]; !known {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var differences []*schema.Difference
	for _, path := range paths {
		if before[path] == after[path] {
			continue
		}
		differences = append(differences, &schema.Difference{Path: path, From: redactDigest(path, before[path]), To: redactDigest(path, after[path])})
	}
	return differences
}

// redactDigest returns the value, or redactedDigest if the path is that of an API
// key digest.
func redactDigest(path, value string) string {
	if value != "" && strings.HasPrefix(path, "accounts.") && strings.Contains(path, ".keys.") {
		return redactedDigest
	}
	return value
}

// flatten returns the leaf values of a declaration by dotted path. A nil
// declaration has none.
func flatten(declaration *schema.Declaration) map[string]string {
	leaves := map[string]string{}
	if declaration != nil {
		walkMessage("", declaration.ProtoReflect(), leaves)
	}
	return leaves
}

// walkMessage adds the leaf values of a message. Durations count as leaf values;
// Structs are flattened by one level.
func walkMessage(path string, message protoreflect.Message, leaves map[string]string) {
	switch typed := message.Interface().(type) {
	case *durationpb.Duration:
		leaves[path] = typed.AsDuration().String()
		return
	case *structpb.Struct:
		for key, value := range typed.GetFields() {
			leaves[join(path, key)] = fmt.Sprint(value.AsInterface())
		}
		return
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		walkField(join(path, string(field.Name())), field, value, leaves)
		return true
	})
}

// walkField adds the leaf values of a field, entry by entry for maps and lists.
func walkField(path string, field protoreflect.FieldDescriptor, value protoreflect.Value, leaves map[string]string) {
	switch {
	case field.IsMap():
		value.Map().Range(func(key protoreflect.MapKey, entry protoreflect.Value) bool {
			entryPath := join(path, key.String())
			// The entry itself is a leaf too, so that an empty message shows up.
			leaves[entryPath] = "present"
			walkField(entryPath, field.MapValue(), entry, leaves)
			return true
		})
	case field.IsList():
		for i := range value.List().Len() {
			walkSingle(join(path, strconv.Itoa(i)), field, value.List().Get(i), leaves)
		}
	default:
		walkSingle(path, field, value, leaves)
	}
}

// walkSingle adds the leaf values of one value that is not a map or a list.
func walkSingle(path string, field protoreflect.FieldDescriptor, value protoreflect.Value, leaves map[string]string) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		walkMessage(path, value.Message(), leaves)
	case protoreflect.EnumKind:
		leaves[path] = string(field.Enum().Values().ByNumber(value.Enum()).Name())
	default:
		leaves[path] = fmt.Sprint(value.Interface())
	}
}

// join appends a key to a dotted path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
