package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The tables of the package comment have exactly one row for each field of each exported body and for
// each value of each enumeration.
func TestPackageCommentMapsEveryName(t *testing.T) {
	files := productFiles(t)
	want := map[string][]string{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			switch spec := n.(type) {
			case *ast.TypeSpec:
				if body, ok := spec.Type.(*ast.StructType); ok && spec.Name.IsExported() {
					want[spec.Name.Name] = fieldRows(t, body)
				}
			case *ast.ValueSpec:
				if enumeration, ok := spec.Type.(*ast.Ident); ok && spec.Names[0].IsExported() {
					value := unquote(t, spec.Values[0].(*ast.BasicLit))
					want[enumeration.Name] = append(want[enumeration.Name], value+" "+spec.Names[0].Name)
				}
			}
			return true
		})
	}
	got := tableRows(files["doc.go"].Doc.Text())
	for name, rows := range want {
		if !slices.Equal(got[name], rows) {
			t.Errorf("table of %s: got rows %q, want %q", name, got[name], rows)
		}
		delete(got, name)
	}
	if len(got) > 0 {
		t.Errorf("got tables of names that the package doesn't declare: %q, want none", got)
	}
}

// productFiles parses the files of the package that are not tests, and returns them by file name.
func productFiles(t *testing.T) map[string]*ast.File {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]*ast.File{}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if files[name], err = parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// fieldRows lists the JSON names and Go names of a body's fields.
func fieldRows(t *testing.T, body *ast.StructType) []string {
	t.Helper()
	rows := make([]string, 0, len(body.Fields.List))
	for _, field := range body.Fields.List {
		name, _, _ := strings.Cut(reflect.StructTag(unquote(t, field.Tag)).Get("json"), ",")
		rows = append(rows, name+" "+field.Names[0].Name)
	}
	return rows
}

func unquote(t *testing.T, literal *ast.BasicLit) string {
	t.Helper()
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// tableRows returns the rows of each table in a package comment, by the name in the heading of the table.
func tableRows(text string) map[string][]string {
	rows, name := map[string][]string{}, ""
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); strings.HasPrefix(line, "\t") && len(fields) == 2 {
			rows[name] = append(rows[name], fields[0]+" "+fields[1])
		} else if heading, _, found := strings.Cut(line, ":"); found {
			name = heading
		}
	}
	return rows
}
