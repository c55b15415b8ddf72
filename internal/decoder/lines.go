package decoder

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of each dotted key of a TOML text. Errors of
// the parser are ignored, because the text was decoded before.
func keyLines(data []byte) map[string]int {
	lineByKey := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		key, offset := nodeKey(node)
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		switch node.Kind {
		case unstable.Table:
			prefix = addLatestIndexes(key, counts)
			lineByKey[prefix] = line
		case unstable.ArrayTable:
			key = addLatestIndexes(key, counts)
			prefix = joinPath(key, strconv.Itoa(counts[key]))
			counts[key]++
			lineByKey[prefix] = line
		case unstable.KeyValue:
			lineByKey[joinPath(prefix, key)] = line
		default:
		}
	}
	return lineByKey
}

// nodeKey returns the dotted key of a node and its offset in the text.
func nodeKey(node *unstable.Node) (key string, offset int) {
	var parts []string
	iterator := node.Key()
	for iterator.Next() {
		part := iterator.Node()
		if len(parts) == 0 {
			offset = int(part.Raw.Offset)
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), offset
}

// addLatestIndexes inserts the index of the latest element after each part of the
// key, except the last, that names an array of tables. counts holds the number
// of elements of each array so far.
func addLatestIndexes(key string, counts map[string]int) string {
	parts := strings.Split(key, ".")
	path := ""
	for i, part := range parts {
		path = joinPath(path, part)
		if count := counts[path]; count > 0 && i < len(parts)-1 {
			path = joinPath(path, strconv.Itoa(count-1))
		}
	}
	return path
}
