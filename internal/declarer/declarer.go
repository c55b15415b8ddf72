// Package declarer loads the declaration that operators keep in version control:
// a directory of TOML files that are merged into one declaration.
package declarer

import (
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Load reads the TOML files of a directory, merges them and compiles the result
// to check it. The error is a decoder.Faults if the content of a file is invalid.
func Load(dir string) (*schema.Declaration, error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, errors.Errorf("%s is not a directory of declarations", dir)
	}
	return LoadFS(os.DirFS(dir), dir)
}

// LoadFS does the same as Load for the TOML files at the root of a file system.
// dir is the directory in the file names of faults.
func LoadFS(files fs.FS, dir string) (*schema.Declaration, error) {
	names, err := fs.Glob(files, "*.toml")
	if err != nil {
		return nil, errors.Wrap(err, "list declarations")
	}
	if len(names) == 0 {
		return nil, errors.Errorf("no .toml file in %s", dir)
	}
	merged := &schema.Declaration{}
	var sources []decoder.Source
	for _, name := range names {
		source, err := mergeFile(files, dir, name, merged)
		if err != nil {
			return nil, err
		}
		sources = append(sources, source)
	}
	_, err = compiler.Compile(1, merged)
	return merged, locate(err, sources)
}

// mergeFile decodes a file and merges it into merged. It returns faults if the
// file declares an entry that merged has.
func mergeFile(files fs.FS, dir, name string, merged *schema.Declaration) (decoder.Source, error) {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return decoder.Source{}, errors.Wrap(err, "read declarations")
	}
	declared := &schema.Declaration{}
	source, err := decoder.Decode(path.Join(dir, name), data, declared)
	if err != nil {
		return source, err
	}
	if faults := source.Locate(findDuplicates(merged, declared)); len(faults) > 0 {
		return source, faults
	}
	proto.Merge(merged, declared)
	return source, nil
}

// findDuplicates returns a fault for each entry that an earlier file declares too.
func findDuplicates(merged, declared *schema.Declaration) decoder.Faults {
	var faults decoder.Faults
	report := func(table string, exists bool, name string) {
		if exists {
			faults = append(faults, decoder.Fault{Path: table + "." + name, Message: "is declared in another file too", Fix: "keep one of them"})
		}
	}
	for name := range declared.GetModels() {
		report("models", merged.GetModels()[name] != nil, name)
	}
	for name := range declared.GetServices() {
		report("services", merged.GetServices()[name] != nil, name)
	}
	for name := range declared.GetTemplates() {
		report("templates", merged.GetTemplates()[name] != nil, name)
	}
	for name := range declared.GetAccounts() {
		report("accounts", merged.GetAccounts()[name] != nil, name)
	}
	slices.SortFunc(faults, func(a, b decoder.Fault) int { return strings.Compare(a.Path, b.Path) })
	return faults
}

// locate sets the file and line of the compiler's faults. It takes the first file
// in which the path or one of its parents has a line, else the first file.
func locate(err error, sources []decoder.Source) error {
	faults, ok := errors.Into[decoder.Faults](err)
	if !ok {
		return err
	}
	located := make(decoder.Faults, 0, len(faults))
	for _, fault := range faults {
		best := fault
		for _, source := range sources {
			found := source.Locate(decoder.Faults{fault})[0]
			if best.File == "" || found.Line > 0 && best.Line == 0 {
				best = found
			}
		}
		located = append(located, best)
	}
	return located
}

// MergeRuntimeState returns the planned declaration with the state that changes
// at runtime. The current rollouts are kept, because commands and daemons control
// them. A version that is withdrawn stays withdrawn until its generation is
// raised.
func MergeRuntimeState(current, planned *schema.Declaration) *schema.Declaration {
	next := proto.CloneOf(planned)
	next.Rollouts = proto.CloneOf(current).GetRollouts()
	for model, declared := range next.GetModels() {
		for name, version := range declared.GetVersions() {
			previous := current.GetModels()[model].GetVersions()[name]
			if previous.GetWithdrawn() && version.GetGeneration() <= previous.GetGeneration() {
				version.Withdrawn = true
				version.Generation = previous.GetGeneration()
			}
		}
	}
	return next
}
