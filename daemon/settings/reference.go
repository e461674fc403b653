package settings

import (
	"fmt"
	"strings"
)

// Reference returns the page docs/SETTINGS.md, which lists all settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nAll keys of a process's YAML file, printed by `primrosespoke settings --page`. A key may also be given as an\n" +
		"environment variable (PRIMROSESPOKE_ and the path in upper case, joined by underscores) or as a flag\n" +
		"(`--set path.to.key=value`). Flags go over the environment, which goes over the file. All findings are\n" +
		"reported together, with file, line and key.\n")
	section := "-" // no section has this name: the first key starts a heading
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
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", key.Path, codeSpan(key.Default), key.Unit, key.rule, escapeCell(key.Doc))
	}
	return b.String()
}

// codeSpan returns text as Markdown code, or nothing for empty text.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// escapeCell escapes the characters that end a cell of a Markdown table.
func escapeCell(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}
