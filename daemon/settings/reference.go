package settings

import (
	"fmt"
	"strings"
)

// Reference renders all settings as the page docs/SETTINGS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nAll keys of a process's YAML file, printed by `primrosespoke settings --page`. A key may also be given as an\n" +
		"environment variable (PRIMROSESPOKE_ and the path in upper case, joined by underscores) or as a flag\n" +
		"(`--set path.to.key=value`). Flags go over the environment, which goes over the file. All findings are\n" +
		"reported together, with file, line and key.\n")
	section := "-"
	for _, key := range Keys() {
		name, _, nested := strings.Cut(key.Path, ".")
		if !nested {
			name = ""
		}
		if name != section {
			section = name
			title := name
			if title == "" {
				title = "the process"
			}
			fmt.Fprintf(&b, "\n## %s\n\n| key | default | unit | check | meaning |\n|---|---|---|---|---|\n", title)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", key.Path, code(key.Default), key.Unit, key.check, escaped(key.Doc))
	}
	return b.String()
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func escaped(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}
