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

// TestOperationsPageListsEveryMetric guards against a metric or a ring that is not
// documented for operators.
func TestOperationsPageListsEveryMetric(t *testing.T) {
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
			t.Errorf("metric %s is not documented in docs/OPERATIONS.md", family)
		}
	}
	for _, ring := range regexp.MustCompile(`ring="([a-z ]+?)( \d+)?"`).FindAllStringSubmatch(strings.Join(h.metrics.Names(), "\n"), -1) {
		if !strings.Contains(page, "`"+ring[1]) {
			t.Errorf("ring %s is not documented in docs/OPERATIONS.md", ring[1])
		}
	}
}

// TestOperationsPageListsEveryWarning guards against a log message of level Warn or
// Error that is not documented for operators.
func TestOperationsPageListsEveryWarning(t *testing.T) {
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
		for _, message := range warnings(file) {
			found++
			if !strings.Contains(page, "| `"+message+"`") {
				t.Errorf("%s: log message %q is not documented in docs/OPERATIONS.md", path, message)
			}
		}
		return nil
	})
	if err != nil || found == 0 {
		t.Errorf("found %d log messages, want at least one; error: %v", found, err)
	}
}

// warnings returns the messages of the calls of Warn and Error whose first argument
// is a string literal.
func warnings(file *ast.File) []string {
	var messages []string
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
			message, _ := strconv.Unquote(text.Value)
			messages = append(messages, message)
		}
		return true
	})
	return messages
}
