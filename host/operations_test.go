package host

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"pimentospread"
	"pimentospread/settings"
)

func operationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// Guards against a metric that operators cannot look up.
func TestPageHasEveryMetric(t *testing.T) {
	s := settings.DefaultSettings()
	s.Host, s.Cell, s.FailureDomain, s.PlatformURL = "h", "c", "f", "http://127.0.0.1:1"
	s.FabricAddress = netip.MustParseAddrPort("127.0.0.1:1")
	h, err := New(Deps{Settings: s, Clock: pimentospread.SystemClock{}, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer h.closeSockets()
	page := operationsPage(t)
	name := regexp.MustCompile(`^[a-z_]+`)
	for _, metric := range h.metrics.Names() {
		if family := name.FindString(metric); !strings.Contains(page, "`"+family) {
			t.Errorf("metric %s is not on the page", family)
		}
	}
	for _, ring := range regexp.MustCompile(`ring="([a-z ]+?)( \d+)?"`).FindAllStringSubmatch(strings.Join(h.metrics.Names(), "\n"), -1) {
		if !strings.Contains(page, "`"+ring[1]) {
			t.Errorf("ring %s is not on the page", ring[1])
		}
	}
}

// Guards against a log line that operators cannot look up.
func TestPageHasEveryWarning(t *testing.T) {
	page := operationsPage(t)
	found := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && (d.Name() == "standin" || d.Name() == "tools" || d.Name() == ".git") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, line := range warnings(file) {
			found++
			if !strings.Contains(page, "| `"+line+"`") {
				t.Errorf("%s: log line %q is not on the page", path, line)
			}
		}
		return nil
	})
	if err != nil || found == 0 {
		t.Errorf("%d log lines found: %v", found, err)
	}
}

// warnings returns the texts of the calls of Warn and Error with a constant first argument.
func warnings(file *ast.File) []string {
	var lines []string
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || method.Sel.Name != "Warn" && method.Sel.Name != "Error" {
			return true
		}
		if text, ok := call.Args[0].(*ast.BasicLit); ok && text.Kind == token.STRING {
			line, _ := strconv.Unquote(text.Value)
			lines = append(lines, line)
		}
		return true
	})
	return lines
}
