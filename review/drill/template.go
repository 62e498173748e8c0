package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the values that the platform fills into a template of settings, by name.
type fields map[string]any

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// render fills a template in as the platform does, as far as the templates of this repository need it.
func render(text string, f fields) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		v, ok := f[m[2]]
		if list, isList := v.([]string); isList {
			return renderList(m[3], list)
		}
		if !ok || m[1] == "^" {
			return ""
		}
		return strings.ReplaceAll(m[3], "{{.}}", fmt.Sprint(v))
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		name, asJSON := strings.CutSuffix(s[2:len(s)-2], "|json")
		if asJSON {
			b, _ := json.Marshal(f[name])
			return string(b)
		}
		return fmt.Sprint(f[name])
	})
}

func renderList(body string, list []string) string {
	var out strings.Builder
	for i, v := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{.}}", v, "{{,}}", comma).Replace(body))
	}
	return out.String()
}
