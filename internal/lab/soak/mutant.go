package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutant is a fault that is put into the router fleet's program to see that a check finds it. The program's source stays as it is: the fault is in a
// copy of one file, which the build takes in its place.
type Mutant struct {
	Name  string
	Rule  Rule   // that a run with the mutant violates
	File  string // below the root of the module
	Edits []Edit
}

// Edit replaces a text, which has to stand once in the file.
type Edit struct{ Old, New string }

// The files of the program that mutants change.
const (
	credentialsFile = "internal/proxy/credentials.go"
	headersFile     = "internal/proxy/headers.go"
	handlerFile     = "internal/proxy/handler.go"
	tenantIndexFile = "internal/proxy/tenantindex.go"
	tenantsFile     = "internal/routeconfig/tenants.go"
	limiterFile     = "internal/proxy/tenantlimiter.go"
	accountFile     = "internal/decide/tokenlease/account.go"
	validateFile    = "internal/routeconfig/validate.go"
	bodyFile        = "internal/proxy/responsebody.go"
)

// Mutants has a mutant for each check of keys, tenants, their limits, the fields of prompts, places of routes and long answers.
var Mutants = []Mutant{
	{"key-is-forwarded", KeyWithheld, credentialsFile, []Edit{{"\theader.Del(apikey.HeaderName)\n", ""}}},
	{"tenant-is-always-the-same", TenantOfKey, headersFile, []Edit{{"headerField{headerTenantID, req.tenant.Name}", `headerField{headerTenantID, "acme"}`}}},
	{"unknown-key-is-accepted", UnknownKeyRejected, credentialsFile, []Edit{{"return nil, errUnknownKey", "return nil, nil"}}},
	{"withdrawn-key-is-remembered", WithdrawnKeyRejected, tenantIndexFile, []Edit{
		{"import (\n", "import (\n\t\"sync\"\n\n"},
		{"\treturn index.byDigest[index.secret.NewDigester().Digest(key)]\n}\n", `	found := index.byDigest[index.secret.NewDigester().Digest(key)]
	mark := apikey.Secret("mutant").NewDigester().Digest(key)
	if found != nil {
		remembered.Store(mark, found)
	} else if kept, ok := remembered.Load(mark); ok {
		found = kept.(*routeconfig.Tenant)
	}
	return found
}

var remembered sync.Map
`}}},
	{"further-keys-are-left-out", ValidKeyServed, tenantsFile, []Edit{{`if key != "" && !shared[key] {`, `if key != "" && !shared[key] && len(made.KeyDigests) == 0 {`}}},
	{"tokens-are-left-out", HeaderIntact, headersFile, []Edit{{"\tfor name, values := range r.Header {\n", "\tfor name, values := range r.Header {\n\t\tif name == headerTokenCounts {\n\t\t\tcontinue\n\t\t}\n"}}},
	{"header-is-logged", KeyNotShown, handlerFile, []Edit{{"\tsent := takeCredentials(", "\tp.log.WithField(\"header\", r.Header).Info(\"request\")\n\tsent := takeCredentials("}}},
	{"grants-cost-nothing", TenantLimitHolds, accountFile, []Edit{{"a.available -= float64(tokens)", "_ = tokens"}}},
	{"limits-allow-nothing", BelowLimitServed, limiterFile, []Edit{{"if cost > l.allowance.MaxCost(limit) {", "if cost > 0 {"}}},
	{"places-are-not-compared", InvalidRefused, validateFile, []Edit{{"\tproblems.validatePlaces(config.GetRoutes())\n", ""}}},
	{"long-answers-are-cut", AnswerIsOwn, bodyFile, []Edit{{"\t\tresult = forwardRest(w, exchange.body)\n", "\t\tresult = outcomeAnswered\n"}}},
	{"tokens-never-come", TenantsServed, limiterFile, []Edit{{"	reply := &tokenlease.Reply{}\n", "	reply := &tokenlease.Reply{}\n	cancel()\n"}}},
}

// FindMutant returns the mutant with a name.
func FindMutant(name string) (*Mutant, error) {
	var names []string
	for i := range Mutants {
		if Mutants[i].Name == name {
			return &Mutants[i], nil
		}
		names = append(names, Mutants[i].Name)
	}
	return nil, Error.New("--mutant %q: want one of %s", name, strings.Join(names, ", "))
}

// Apply returns the mutant's file, below the root of the module, with the fault in it.
func (m *Mutant) Apply(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return "", Error.Wrap(err)
	}
	text := string(data)
	for _, edit := range m.Edits {
		if strings.Count(text, edit.Old) != 1 {
			return "", Error.New("mutant %s: %q doesn't stand once in %s", m.Name, edit.Old, m.File)
		}
		text = strings.Replace(text, edit.Old, edit.New, 1)
	}
	return text, nil
}

// Build builds the router fleet's program with the fault, in a folder. It has to be called within the module.
func (m *Mutant) Build(dir string) (binary string, err error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", Error.New("the module's root: %w", err)
	}
	root := strings.TrimSpace(string(out))
	text, err := m.Apply(root)
	if err != nil {
		return "", err
	}
	replacement, overlay, binary := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "hazelfleet")
	replaced, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(root, m.File): replacement}})
	if err != nil {
		return "", Error.Wrap(err)
	}
	for name, content := range map[string][]byte{replacement: []byte(text), overlay: replaced} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			return "", Error.Wrap(err)
		}
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-o", binary, "./cmd/hazelfleet")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", Error.New("mutant %s: %w: %s", m.Name, err, out)
	}
	return binary, nil
}
