// Package decoder decodes TOML into the messages of the schema. It reports each
// fault with its file, line and key and how to fix it.
package decoder

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
)

// Fault is one mistake in a file of settings or declarations.
type Fault struct {
	// File and Line are the position of the fault; Line is 0 if it is not known.
	File string
	Line int
	// Path is the dotted key; empty if the fault belongs to no key.
	Path string
	// Message says what is wrong, Fix how to correct it. Fix may be empty.
	Message string
	Fix     string
}

// Error returns "file:line: path: message; fix" without the parts that are not
// set.
func (f Fault) Error() string {
	text := f.Path + ": " + f.Message
	if f.Path == "" {
		text = f.Message
	}
	if f.Fix != "" {
		text += "; " + f.Fix
	}
	if f.File == "" {
		return text
	}
	if f.Line == 0 {
		return f.File + ": " + text
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, text)
}

// Faults is a list of faults. Err turns it into an error.
type Faults []Fault

// Error returns the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Source is a decoded file with the line numbers of its keys.
type Source struct {
	File string
	// lines maps a dotted key to its line number.
	lines map[string]int
}

// Locate returns the faults with the file and the line of their paths. A path
// that has no line gets the line of its nearest parent that has one.
func (s Source) Locate(faults Faults) Faults {
	located := slices.Clone(faults)
	for i := range located {
		located[i].File = s.File
		located[i].Line = s.line(located[i].Path)
	}
	return located
}

// line returns the line of a path or of its nearest parent, 0 if there is none.
func (s Source) line(path string) int {
	for path != "" {
		if line, ok := s.lines[path]; ok {
			return line
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return 0
		}
		path = path[:dot]
	}
	return 0
}

// DecodeFile decodes a TOML file into target. The error is a Faults if the
// content of the file is invalid.
func DecodeFile(name string, target proto.Message) (Source, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Source{}, errors.Wrap(err, "read file")
	}
	return Decode(name, data, target)
}

// Decode decodes TOML text into target. The error is a Faults; name is the file
// name in it.
func Decode(name string, data []byte, target proto.Message) (Source, error) {
	source := Source{File: name}
	tree := map[string]any{} // the TOML library decodes into a generic tree
	if err := toml.Unmarshal(data, &tree); err != nil {
		return source, syntaxFault(name, err)
	}
	source.lines = keyLines(data)
	faults := DecodeTree(tree, target.ProtoReflect(), "")
	return source, source.Locate(faults).Err()
}

func syntaxFault(name string, err error) error {
	fault := Fault{File: name, Message: err.Error()}
	if syntax, ok := errors.Into[*toml.DecodeError](err); ok {
		fault.Line, _ = syntax.Position()
		fault.Path = strings.Join(syntax.Key(), ".")
	}
	return Faults{fault}
}

// DecodeTree sets the fields of target from a generic tree. path is the dotted
// key of the tree, which the paths of faults start with; empty for the root.
func DecodeTree(tree map[string]any, target protoreflect.Message, path string) Faults {
	var faults Faults
	fields := target.Descriptor().Fields()
	for _, key := range sortedKeys(tree) {
		keyPath := joinPath(path, key)
		field := fields.ByName(protoreflect.Name(key))
		if field == nil {
			faults = append(faults, unknownKey(keyPath, key, fields))
			continue
		}
		faults = append(faults, setField(target, field, tree[key], keyPath)...)
	}
	return faults
}

// unknownKey returns the fault of a key that is not one of the fields.
func unknownKey(path, key string, fields protoreflect.FieldDescriptors) Fault {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return Fault{Path: path, Message: "unknown key", Fix: Suggest(key, names)}
}

// setField sets a field from a decoded TOML value, unless the value has faults.
func setField(target protoreflect.Message, field protoreflect.FieldDescriptor, value any, path string) Faults {
	switch {
	case field.IsMap():
		return setMap(target, field, value, path)
	case field.IsList():
		return setList(target, field, value, path)
	}
	decoded, faults := decodeValue(field, target.NewField(field), value, path)
	if len(faults) == 0 {
		target.Set(field, decoded)
	}
	return faults
}

func setMap(target protoreflect.Message, field protoreflect.FieldDescriptor, value any, path string) Faults {
	tree, ok := value.(map[string]any)
	if !ok {
		return Faults{wrongType(path, "a table", value)}
	}
	var faults Faults
	entries := target.Mutable(field).Map()
	for _, key := range sortedKeys(tree) {
		decoded, entryFaults := decodeValue(field.MapValue(), entries.NewValue(), tree[key], joinPath(path, key))
		faults = append(faults, entryFaults...)
		if len(entryFaults) == 0 {
			entries.Set(protoreflect.ValueOfString(key).MapKey(), decoded)
		}
	}
	return faults
}

func setList(target protoreflect.Message, field protoreflect.FieldDescriptor, value any, path string) Faults {
	items, ok := value.([]any)
	if !ok {
		return Faults{wrongType(path, "a list", value)}
	}
	var faults Faults
	list := target.Mutable(field).List()
	for i, item := range items {
		decoded, itemFaults := decodeValue(field, list.NewElement(), item, fmt.Sprintf("%s.%d", path, i))
		faults = append(faults, itemFaults...)
		if len(itemFaults) == 0 {
			list.Append(decoded)
		}
	}
	return faults
}

func decodeValue(field protoreflect.FieldDescriptor, empty protoreflect.Value, value any, path string) (protoreflect.Value, Faults) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return empty, decodeMessage(empty.Message(), value, path)
	case protoreflect.EnumKind:
		return decodeEnum(field, value, path)
	case protoreflect.StringKind:
		if text, ok := value.(string); ok {
			return protoreflect.ValueOfString(text), nil
		}
		return empty, Faults{wrongType(path, "a string", value)}
	case protoreflect.BoolKind:
		if flag, ok := value.(bool); ok {
			return protoreflect.ValueOfBool(flag), nil
		}
		return empty, Faults{wrongType(path, "true or false", value)}
	default:
		return decodeNumber(field, empty, value, path)
	}
}

func decodeMessage(target protoreflect.Message, value any, path string) Faults {
	switch message := target.Interface().(type) {
	case *durationpb.Duration:
		return decodeDuration(message, value, path)
	case *structpb.Struct:
		return decodeStruct(message, value, path)
	}
	tree, ok := value.(map[string]any)
	if !ok {
		return Faults{wrongType(path, "a table", value)}
	}
	return DecodeTree(tree, target, path)
}

func decodeDuration(target *durationpb.Duration, value any, path string) Faults {
	text, ok := value.(string)
	if !ok {
		return Faults{wrongType(path, `a duration such as "1m30s"`, value)}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return Faults{{Path: path, Message: fmt.Sprintf("%q is not a duration", text), Fix: `write a number with a unit, such as "250ms" or "1m30s"`}}
	}
	proto.Merge(target, durationpb.New(parsed))
	return nil
}

func decodeStruct(target *structpb.Struct, value any, path string) Faults {
	tree, ok := value.(map[string]any)
	if !ok {
		return Faults{wrongType(path, "a table", value)}
	}
	decoded, err := structpb.NewStruct(tree)
	if err != nil {
		return Faults{{Path: path, Message: err.Error(), Fix: "use strings, numbers, booleans, lists and tables"}}
	}
	target.Fields = decoded.GetFields()
	return nil
}

// decodeEnum decodes the name of an enum value, in lower case and without the
// prefix of the enum. The value 0 means unspecified and has no name in a file.
func decodeEnum(field protoreflect.FieldDescriptor, value any, path string) (protoreflect.Value, Faults) {
	values := field.Enum().Values()
	prefix := strings.ToUpper(string(field.Enum().Name())) + "_"
	text, ok := value.(string)
	if !ok {
		return protoreflect.Value{}, Faults{wrongType(path, "a string", value)}
	}
	if found := values.ByName(protoreflect.Name(prefix + strings.ToUpper(text))); found != nil && found.Number() != 0 {
		return protoreflect.ValueOfEnum(found.Number()), nil
	}
	var names []string
	for i := 1; i < values.Len(); i++ {
		names = append(names, strings.ToLower(strings.TrimPrefix(string(values.Get(i).Name()), prefix)))
	}
	return protoreflect.Value{}, Faults{{Path: path, Message: fmt.Sprintf("unknown value %q", text), Fix: Suggest(text, names)}}
}

func decodeNumber(field protoreflect.FieldDescriptor, empty protoreflect.Value, value any, path string) (protoreflect.Value, Faults) {
	number, ok := asFloat(value)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		return empty, Faults{wrongType(path, "a number", value)}
	}
	if field.Kind() == protoreflect.DoubleKind {
		return protoreflect.ValueOfFloat64(number), nil
	}
	low, high := integerRange(field.Kind())
	if number != math.Trunc(number) || number < low || number > high {
		return empty, Faults{{Path: path, Message: fmt.Sprintf("%v is out of range", value), Fix: fmt.Sprintf("use a whole number from %.0f to %.0f", low, high)}}
	}
	switch field.Kind() {
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number)), nil
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(number)), nil
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number)), nil
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(number)), nil
	default:
		return empty, Faults{{Path: path, Message: "cannot be set in a file"}}
	}
}

func asFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case int64:
		return float64(number), true
	case float64:
		return number, true
	default:
		return 0, false
	}
}

// maxExactInteger bounds 64-bit integers: up to it a float64 represents every
// integer exactly.
const maxExactInteger = 1 << 53

// integerRange returns the least and the greatest value of an integer kind.
func integerRange(kind protoreflect.Kind) (low, high float64) {
	switch kind {
	case protoreflect.Int32Kind:
		return math.MinInt32, math.MaxInt32
	case protoreflect.Uint32Kind:
		return 0, math.MaxUint32
	case protoreflect.Uint64Kind:
		return 0, maxExactInteger
	default:
		return -maxExactInteger, maxExactInteger
	}
}

func wrongType(path, want string, got any) Fault {
	return Fault{Path: path, Message: fmt.Sprintf("value %v has the wrong type", got), Fix: "use " + want}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys(tree map[string]any) []string {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
