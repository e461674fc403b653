package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Role is the kind of a process; it selects the rules that its settings must meet.
type Role string

// Roles of a process. RoleAny selects only the rules that don't depend on the role.
const (
	RoleAny   Role = ""
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleFront Role = "front"
)

// settingsFileVariable is the environment variable with the path of the settings file.
// It has the prefix of the settings but is not one of them.
const settingsFileVariable = "PRIMROSESPOKE_NODE_FILE"

// reads reports whether a process of the role reads a key. A front reads its own section
// and the keys outside all sections; the other roles read everything but a front's section.
func (r Role) reads(key string) bool {
	section, _, inSection := strings.Cut(key, ".")
	if r == RoleFront {
		return !inSection || section == string(RoleFront)
	}
	return section != string(RoleFront)
}

// Sources are the places that settings come from.
type Sources struct {
	// File is the path of the YAML file; empty means that there is none.
	File string
	// Environ holds NAME=VALUE pairs, as os.Environ returns them.
	Environ []string
	// Flags holds path=value pairs from --set.
	Flags []string
	// Role selects the rules to check.
	Role Role
}

// location is the place where a value was given. Line is 0 where the source has no lines.
type location struct {
	source string
	line   int
}

// loader collects the values and findings of one load.
type loader struct {
	settings  Settings
	keys      map[string]Key      // by path
	locations map[string]location // where each key's latest value was given, by path
	findings  Findings
	file      string
}

// Load returns the settings that the sources give. If anything is wrong, it returns all
// findings as an error of type Findings.
func Load(src Sources) (*Settings, error) {
	l := &loader{keys: map[string]Key{}, locations: map[string]location{}, file: src.File}
	l.setDefaults()
	if src.File != "" {
		l.readFile(src.File)
	}
	l.readEnviron(src.Environ)
	l.readFlags(src.Flags)
	l.validate(src.Role)
	if len(l.findings) > 0 {
		l.findings.sort()
		return nil, l.findings
	}
	return &l.settings, nil
}

// Check loads one file without environment and flags and returns its findings. The role
// is that of the first section of a role in the file.
func Check(path string) Findings {
	role := RoleAny
	data, err := os.ReadFile(path)
	if err == nil {
		role = roleOf(string(data))
	}
	_, err = Load(Sources{File: path, Role: role})
	if findings, ok := err.(Findings); ok {
		return findings
	}
	return nil
}

// roleOf returns the role whose section comes first in a YAML text.
func roleOf(text string) Role {
	for line := range strings.Lines(text) {
		switch {
		case strings.HasPrefix(line, "entry:"):
			return RoleEntry
		case strings.HasPrefix(line, "agent:"):
			return RoleAgent
		case strings.HasPrefix(line, "front:"):
			return RoleFront
		}
	}
	return RoleAny
}

// setDefaults indexes the keys by path and sets their defaults. It panics if the tag of a
// default doesn't parse, which is a programming error.
func (l *loader) setDefaults() {
	for _, key := range Keys() {
		l.keys[key.Path] = key
		if key.Default == "" {
			continue
		}
		if err := key.set(&l.settings, key.Default); err != nil {
			panic(fmt.Sprintf("default of %s: %v", key.Path, err))
		}
	}
}

func (l *loader) addFinding(at location, key, message string) {
	l.findings = append(l.findings, Finding{Source: at.source, Line: at.line, Key: key, Message: message})
}

// assign parses text into the setting at path.
func (l *loader) assign(at location, path, text string) {
	key, ok := l.keys[path]
	if !ok {
		l.addFinding(at, path, "unknown key")
		return
	}
	l.locations[path] = at
	if err := key.set(&l.settings, text); err != nil {
		l.addFinding(at, path, err.Error())
	}
}

func (l *loader) readFile(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.addFinding(location{source: path}, "-", err.Error())
		return
	}
	l.readYAML(data)
}

func (l *loader) readYAML(data []byte) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		l.addFinding(location{source: l.file}, "-", "invalid YAML: "+firstLine(err.Error()))
		return
	}
	if len(file.Docs) > 1 {
		l.addFinding(location{source: l.file}, "-", "more than one YAML document")
	}
	for _, doc := range file.Docs {
		l.assignSection(doc.Body, "")
	}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// assignSection assigns every scalar of a section. The prefix is the section's path with a
// dot at its end, or empty for the root.
func (l *loader) assignSection(node ast.Node, prefix string) {
	switch n := node.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
	case *ast.MappingNode:
		for _, value := range n.Values {
			l.assignMappingValue(value, prefix)
		}
	case *ast.MappingValueNode:
		l.assignMappingValue(n, prefix)
	default:
		l.addFinding(l.locationOfNode(node), strings.TrimSuffix(prefix, "."), "expected a section with keys")
	}
}

// assignMappingValue assigns the value of one key of a mapping, or the section that the
// key names.
func (l *loader) assignMappingValue(value *ast.MappingValueNode, prefix string) {
	path := prefix + value.Key.GetToken().Value
	if l.isSection(path) {
		l.assignSection(value.Value, path+".")
		return
	}
	at := l.locationOfNode(value.Key)
	if _, ok := l.keys[path]; !ok {
		l.addFinding(at, path, "unknown key")
		return
	}
	if _, ok := value.Value.(ast.ScalarNode); !ok {
		l.addFinding(at, path, "expected a single value")
		return
	}
	if l.locations[path].source == l.file {
		l.addFinding(at, path, "duplicate key")
	}
	l.assign(at, path, value.Value.GetToken().Value)
}

// isSection reports whether a known key lies below path.
func (l *loader) isSection(path string) bool {
	for known := range l.keys {
		if strings.HasPrefix(known, path+".") {
			return true
		}
	}
	return false
}

func (l *loader) locationOfNode(node ast.Node) location {
	return location{source: l.file, line: node.GetToken().Position.Line}
}

// readEnviron assigns the variables with the prefix of the settings. One that belongs to
// no key is a finding, so that a misspelt name isn't ignored.
func (l *loader) readEnviron(environ []string) {
	pathByVariable := map[string]string{}
	for path, key := range l.keys {
		pathByVariable[key.Env()] = path
	}
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, envPrefix) || name == settingsFileVariable {
			continue
		}
		path, ok := pathByVariable[name]
		if !ok {
			l.addFinding(location{source: "environment"}, name, "unknown key")
			continue
		}
		l.assign(location{source: "environment"}, path, value)
	}
}

func (l *loader) readFlags(flags []string) {
	for _, pair := range flags {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			l.addFinding(location{source: "flag"}, path, "expected KEY=VALUE")
			continue
		}
		l.assign(location{source: "flag"}, path, value)
	}
}

// validate checks each value that has no finding yet, then the rules over several keys.
func (l *loader) validate(role Role) {
	hasFinding := map[string]bool{}
	for _, f := range l.findings {
		hasFinding[f.Key] = true
	}
	for _, key := range Keys() {
		if hasFinding[key.Path] || !role.reads(key.Path) {
			continue
		}
		if err := key.validate(&l.settings); err != nil {
			l.addFinding(l.locationOfKey(key.Path), key.Path, err.Error())
		}
	}
	for path, message := range validateCombinations(&l.settings, role) {
		l.addFinding(l.locationOfKey(path), path, message)
	}
}

// locationOfKey returns where the key was given. An absent key is located in the file.
func (l *loader) locationOfKey(path string) location {
	if at, ok := l.locations[path]; ok {
		return at
	}
	return location{source: l.file}
}
