package declaration

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// MaximumFileSize is the largest declaration file that is read, in bytes.
const MaximumFileSize = 4 << 20

// header holds the fields that tell how to decode the rest of a document.
type header struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// ReadDirectory reads every .yaml and .yml file below a directory and checks all declarations together.
//
// The error is an *InvalidError with every fault when declarations are missing
// or invalid; other errors come from the file system.
func ReadDirectory(directory string) (Set, error) {
	var entries []Entry
	var faults []Fault
	err := filepath.WalkDir(directory, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !isDeclarationFile(path) {
			return nil
		}
		fileEntries, fileFaults, err := readFile(directory, path)
		entries = append(entries, fileEntries...)
		faults = append(faults, fileFaults...)
		return err
	})
	if err != nil {
		return Set{}, eris.Wrapf(err, "read declarations in %s", directory)
	}
	if len(entries) == 0 && len(faults) == 0 {
		faults = append(faults, NewFault(directory, 0, "no declarations found in .yaml or .yml files"))
	}
	faults = append(faults, findDuplicates(entries)...)
	faults = append(faults, Check(entries)...)
	if err := NewInvalidError(faults); err != nil {
		return Set{}, err
	}
	return NewSet(entries...), nil
}

func isDeclarationFile(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".yaml" || extension == ".yml"
}

// readFile reads one file; its faults name the path relative to the directory.
func readFile(directory, path string) ([]Entry, []Fault, error) {
	name, err := filepath.Rel(directory, path)
	if err != nil {
		return nil, nil, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Size() > MaximumFileSize {
		return nil, []Fault{NewFault(name, 0, fmt.Sprintf("file has %d bytes, must have at most %d", info.Size(), MaximumFileSize))}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	entries, faults := Read(name, data)
	return entries, faults, nil
}

// Read parses the YAML documents of one file and returns an entry or a fault for each.
//
// It finds the faults of parsing and decoding only; Check finds the others. Empty
// documents are skipped. The name stands for the file in the faults.
func Read(name string, data []byte) ([]Entry, []Fault) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []Fault{newYAMLFault(name, err)}
	}
	var entries []Entry
	var faults []Fault
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		e, err := readDocument(doc.Body)
		if err != nil {
			faults = append(faults, newYAMLFaultAt(name, lineOf(doc.Body), err))
			continue
		}
		e.position = NewFault(name, lineOf(doc.Body), "")
		entries = append(entries, e)
	}
	return entries, faults
}

// lineOf returns the line on which a document starts, for a mapping that of its first key, or 0 when it isn't known.
func lineOf(n ast.Node) int {
	token := n.GetToken()
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		token = m.Values[0].Key.GetToken()
	}
	if token == nil || token.Position == nil {
		return 0
	}
	return token.Position.Line
}

// readDocument decodes one document by its kind; a field that the kind doesn't have is an error.
func readDocument(n ast.Node) (Entry, error) {
	var h header
	if err := yaml.NodeToValue(n, &h); err != nil {
		return Entry{}, err
	}
	switch h.Kind {
	case KindService:
		var s Service
		if err := yaml.NodeToValue(n, &s, yaml.Strict()); err != nil {
			return Entry{}, err
		}
		return NewServiceEntry(s)
	case KindIntent:
		var i Intent
		if err := yaml.NodeToValue(n, &i, yaml.Strict()); err != nil {
			return Entry{}, err
		}
		return NewIntentEntry(i)
	case "":
		return Entry{}, eris.New("kind is missing")
	default:
		return Entry{}, eris.Errorf("unknown kind %q, expected service or intent", h.Kind)
	}
}

func newYAMLFault(name string, err error) Fault { return newYAMLFaultAt(name, 0, err) }

// newYAMLFaultAt returns the fault of an error, at the error's own line if it has one and else at the given line.
func newYAMLFaultAt(name string, line int, err error) Fault {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return NewFault(name, line, err.Error())
	}
	if token := yamlError.GetToken(); token != nil && token.Position != nil {
		line = token.Position.Line
	}
	return NewFault(name, line, strings.TrimSpace(yamlError.GetMessage()))
}

// findDuplicates returns a fault for each entry whose key an earlier entry has.
//
// The fault names the position of the earlier entry, which as a Fault without a
// reason ends in ": ".
func findDuplicates(entries []Entry) []Fault {
	first := make(map[Key]Entry, len(entries))
	var faults []Fault
	for _, e := range entries {
		earlier, ok := first[e.key]
		if !ok {
			first[e.key] = e
			continue
		}
		faults = append(faults, e.fault("duplicate of "+e.key.String()+", first declared at "+strings.TrimSuffix(earlier.position.String(), ": ")))
	}
	return faults
}

// fault returns a fault at the position of the entry.
func (e Entry) fault(reason string) Fault {
	return NewFault(e.position.place, e.position.line, reason)
}
