// Package compiler validates a declaration and compiles it into the catalog that
// the request path reads.
package compiler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/types/known/structpb"

	"quetzalgrade.example/quetzalgrade/internal/decoder"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Defaults of fields that a declaration omits.
const (
	defaultMaxOutput = 1024
	defaultSlots     = 8
)

// compilation is the state of one run of the compiler.
type compilation struct {
	declaration *schema.Declaration
	catalog     *Catalog
	faults      decoder.Faults
}

// Compile validates the declaration and returns its catalog. An error is a
// decoder.Faults whose paths are dotted keys of the declaration.
func Compile(revision uint64, declaration *schema.Declaration) (*Catalog, error) {
	c := &compilation{
		declaration: declaration,
		catalog: &Catalog{
			Revision:         revision,
			Cluster:          declaration.GetCluster(),
			Zones:            Set[string]{},
			Versions:         map[VersionID]*Version{},
			Services:         map[string]*Service{},
			Accounts:         map[string]*Account{},
			Rollouts:         map[string]*Rollout{},
			Workers:          map[netip.AddrPort]*Worker{},
			accountByDigest:  map[[sha256.Size]byte]*Account{},
			workersByVersion: map[VersionID][]*Worker{},
			rolloutByTarget:  map[VersionID]*Rollout{},
		},
	}
	if declaration.GetCluster() == "" {
		c.addFault("cluster", "is missing", "set the name of the cluster")
	}
	for name := range declaration.GetZones() {
		c.catalog.Zones.Add(name)
	}
	c.compileModels()
	c.compileServices()
	c.checkTemplates()
	c.compileAccounts()
	c.compileRollouts()
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	return c.catalog, nil
}

// addFault adds a fault with its dotted path and a hint on how to fix it.
func (c *compilation) addFault(path, message, fix string) {
	c.faults = append(c.faults, decoder.Fault{Path: path, Message: message, Fix: fix})
}

// compileModels compiles the versions of all models.
func (c *compilation) compileModels() {
	for _, model := range sortedKeys(c.declaration.GetModels()) {
		versions := c.declaration.GetModels()[model].GetVersions()
		if len(versions) == 0 {
			c.addFault("models."+model, "has no versions", "add one under models."+model+".versions")
		}
		for _, name := range sortedKeys(versions) {
			c.compileVersion(VersionID{model, name}, versions[name])
		}
	}
}

// compileVersion adds one version to the catalog.
func (c *compilation) compileVersion(id VersionID, declared *schema.Version) {
	path := "models." + id.Model + ".versions." + id.Version
	price := pricer.Price{Input: pricer.Money(declared.GetPrice().GetInput()), Output: pricer.Money(declared.GetPrice().GetOutput())}
	if price.Input < 0 || price.Output < 0 {
		c.addFault(path+".price", "is negative", "use 0 or more millionths of the currency unit")
	}
	c.checkUnitInterval(path+".quality", declared.GetQuality())
	maxOutput := int(declared.GetOutput())
	if maxOutput == 0 {
		maxOutput = defaultMaxOutput
	}
	c.catalog.Versions[id] = &Version{
		ID:          id,
		Price:       price,
		PriorRating: declared.GetQuality(),
		Withdrawn:   declared.GetWithdrawn(),
		Generation:  declared.GetGeneration(),
		MaxOutput:   maxOutput,
	}
}

// checkUnitInterval checks that a number is in [0, 1].
func (c *compilation) checkUnitInterval(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.addFault(path, fmt.Sprintf("%v is not in [0, 1]", value), "use a number from 0 to 1")
	}
}

// compileServices adds the services and their workers to the catalog.
func (c *compilation) compileServices() {
	for _, name := range sortedKeys(c.declaration.GetServices()) {
		declared := c.declaration.GetServices()[name]
		path := "services." + name
		if declared.GetKind() == schema.Kind_KIND_UNSPECIFIED {
			c.addFault(path+".kind", "is missing", `use "model" or "plain"`)
		}
		service := &Service{
			Name:       name,
			Plain:      declared.GetKind() == schema.Kind_KIND_PLAIN,
			idempotent: map[string]bool{},
			Fee:        pricer.Money(declared.GetFee()),
			Fenced:     declared.GetFenced(),
		}
		for _, call := range sortedKeys(declared.GetCalls()) {
			method, target, _ := strings.Cut(call, " ")
			if method != strings.ToUpper(method) || !strings.HasPrefix(target, "/") {
				c.addFault(path+".calls."+call, "is not a valid call", `write it as "POST /bookings"`)
			}
			service.idempotent[call] = declared.GetCalls()[call].GetIdempotent()
		}
		c.catalog.Services[name] = service
		for i, worker := range declared.GetWorkers() {
			c.compileWorker(service, path+".workers."+strconv.Itoa(i), worker)
		}
	}
}

// compileWorker adds a worker to the catalog, to its service and to the versions
// that it serves.
func (c *compilation) compileWorker(service *Service, path string, declared *schema.Worker) {
	address, err := netip.ParseAddrPort(declared.GetAddress())
	if err != nil {
		c.addFault(path+".address", fmt.Sprintf("%q is not an address", declared.GetAddress()), `write it as "10.0.0.1:9000"`)
		return
	}
	if c.catalog.Workers[address] != nil {
		c.addFault(path+".address", declared.GetAddress()+" is used twice", "give each worker its own address")
	}
	if !c.catalog.Zones.Has(declared.GetZone()) {
		c.addFault(path+".zone", fmt.Sprintf("zone %q is not declared", declared.GetZone()), decoder.Suggest(declared.GetZone(), sortedKeys(c.declaration.GetZones())))
	}
	slots := int(declared.GetSlots())
	if slots == 0 {
		slots = defaultSlots
	}
	worker := &Worker{Address: address, Zone: declared.GetZone(), Service: service.Name, Slots: slots, Versions: Set[VersionID]{}}
	for i, text := range declared.GetVersions() {
		id, ok := ParseVersion(text)
		if !ok || c.catalog.Versions[id] == nil {
			c.addFault(fmt.Sprintf("%s.versions.%d", path, i), fmt.Sprintf("version %q is not declared", text), decoder.Suggest(text, c.versionNames()))
			continue
		}
		worker.Versions.Add(id)
		c.catalog.workersByVersion[id] = append(c.catalog.workersByVersion[id], worker)
	}
	c.catalog.Workers[address] = worker
	service.Workers = append(service.Workers, worker)
}

// versionNames returns the sorted names of all versions, for suggestions.
func (c *compilation) versionNames() []string {
	var names []string
	for id := range c.catalog.Versions {
		names = append(names, id.String())
	}
	slices.Sort(names)
	return names
}

// checkTemplates validates each template without its accounts, so that a
// misspelt key is found even if no account uses the template.
func (c *compilation) checkTemplates() {
	for _, name := range sortedKeys(c.declaration.GetTemplates()) {
		template := c.declaration.GetTemplates()[name]
		path := "templates." + name
		for _, parameter := range sortedKeys(template.GetDefaults().GetFields()) {
			if !slices.Contains(template.GetParameters(), parameter) {
				c.addFault(path+".defaults."+parameter, "is not a parameter of the template", decoder.Suggest(parameter, template.GetParameters()))
			}
		}
		fields := (&schema.Policy{}).ProtoReflect().Descriptor().Fields()
		for _, key := range sortedKeys(template.GetPolicy().GetFields()) {
			if fields.ByTextName(key) == nil {
				var names []string
				for i := range fields.Len() {
					names = append(names, fields.Get(i).TextName())
				}
				c.addFault(path+".policy."+key, "unknown key", decoder.Suggest(key, names))
			}
		}
	}
}

// compileAccounts expands the policies of all accounts and adds the accounts to
// the catalog.
func (c *compilation) compileAccounts() {
	for _, name := range sortedKeys(c.declaration.GetAccounts()) {
		declared := c.declaration.GetAccounts()[name]
		path := "accounts." + name
		template := c.declaration.GetTemplates()[declared.GetTemplate()]
		if template == nil {
			c.addFault(path+".template", fmt.Sprintf("template %q is not declared", declared.GetTemplate()), decoder.Suggest(declared.GetTemplate(), sortedKeys(c.declaration.GetTemplates())))
			continue
		}
		policy, faults := expandTemplate(path, declared, template)
		c.faults = append(c.faults, faults...)
		if len(faults) > 0 {
			continue
		}
		account := &Account{Name: name, Policy: c.compilePolicy("templates."+declared.GetTemplate()+".policy", policy)}
		c.catalog.Accounts[name] = account
		c.compileKeys(path, account, declared.GetKeys())
	}
}

// compileKeys adds the digests of an account's API keys to the catalog.
func (c *compilation) compileKeys(path string, account *Account, keys []string) {
	if len(keys) == 0 {
		c.addFault(path+".keys", "is missing", "give the SHA-256 digest of at least one API key")
	}
	for i, text := range keys {
		keyPath := fmt.Sprintf("%s.keys.%d", path, i)
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			c.addFault(keyPath, "is not a SHA-256 digest", "use the 64 hexadecimal digits that `quetzalgrade key` prints")
			continue
		}
		if other := c.catalog.accountByDigest[[sha256.Size]byte(digest)]; other != nil {
			c.addFault(keyPath, "is also a key of account "+other.Name, "give each account its own keys")
		}
		c.catalog.accountByDigest[[sha256.Size]byte(digest)] = account
	}
}

// expandTemplate returns the policy of an account: its template with the
// account's parameters, or their defaults, in place of the placeholders.
func expandTemplate(path string, account *schema.Account, template *schema.Template) (*schema.Policy, decoder.Faults) {
	var faults decoder.Faults
	values := map[string]*structpb.Value{}
	for name, value := range template.GetDefaults().GetFields() {
		values[name] = value
	}
	for _, name := range sortedKeys(account.GetParameters().GetFields()) {
		if !slices.Contains(template.GetParameters(), name) {
			faults = append(faults, decoder.Fault{
				Path:    path + ".parameters." + name,
				Message: "is not a parameter of template " + account.GetTemplate(),
				Fix:     decoder.Suggest(name, template.GetParameters()),
			})
		}
		values[name] = account.GetParameters().GetFields()[name]
	}
	for _, name := range template.GetParameters() {
		if values[name] == nil {
			faults = append(faults, decoder.Fault{
				Path:    path + ".parameters",
				Message: fmt.Sprintf("parameter %q of template %s is not set", name, account.GetTemplate()),
				Fix:     "set it here or under templates." + account.GetTemplate() + ".defaults",
			})
		}
	}
	policyPath := "templates." + account.GetTemplate() + ".policy"
	tree := map[string]any{} // input of decoder.DecodeTree
	for _, key := range sortedKeys(template.GetPolicy().GetFields()) {
		value, valueFaults := substitute(policyPath+"."+key, template.GetPolicy().GetFields()[key], values)
		faults = append(faults, valueFaults...)
		tree[key] = value
	}
	if len(faults) > 0 {
		return nil, faults
	}
	policy := &schema.Policy{}
	return policy, decoder.DecodeTree(tree, policy.ProtoReflect(), policyPath)
}

// substitute replaces "${name}" by the value of the parameter, in lists too.
func substitute(path string, value *structpb.Value, values map[string]*structpb.Value) (any, decoder.Faults) {
	if list := value.GetListValue(); list != nil {
		var faults decoder.Faults
		var items []any
		for i, item := range list.GetValues() {
			replaced, itemFaults := substitute(fmt.Sprintf("%s.%d", path, i), item, values)
			faults = append(faults, itemFaults...)
			items = append(items, replaced)
		}
		return items, faults
	}
	text := value.GetStringValue()
	name, isParameter := strings.CutPrefix(text, "${")
	if !isParameter {
		return value.AsInterface(), nil
	}
	name, closed := strings.CutSuffix(name, "}")
	if !closed || values[name] == nil {
		return nil, decoder.Faults{{Path: path, Message: fmt.Sprintf("%q does not name a parameter", text), Fix: decoder.Suggest(name, sortedKeys(values))}}
	}
	return values[name].AsInterface(), nil
}

// compilePolicy validates an expanded policy and compiles it.
func (c *compilation) compilePolicy(path string, declared *schema.Policy) Policy {
	c.checkUnitInterval(path+".quality", declared.GetQuality())
	c.checkUnitInterval(path+".caution", declared.GetCaution())
	if declared.GetDeadline().AsDuration() <= 0 {
		c.addFault(path+".deadline", "is missing", `set the maximum duration of a request, such as "30s"`)
	}
	if !(declared.GetRate() >= 0) || math.IsInf(declared.GetRate(), 0) {
		c.addFault(path+".rate", "is negative or not finite", "use 0 for no limit")
	}
	if declared.GetSpend() < 0 {
		c.addFault(path+".spend", "is negative", "use 0 for no limit")
	}
	weight := declared.GetWeight()
	if weight == 0 {
		weight = 1
	}
	if !(weight > 0) {
		c.addFault(path+".weight", "is not positive", "use a number above 0")
	}
	policy := Policy{
		Versions:          Set[VersionID]{},
		Services:          Set[string]{},
		MinRating:         declared.GetQuality(),
		DailySpend:        pricer.Money(declared.GetSpend()),
		RequestRate:       declared.GetRate(),
		MaxParallel:       int(declared.GetParallel()),
		Weight:            weight,
		Priority:          int(declared.GetPriority()),
		Deadline:          declared.GetDeadline().AsDuration(),
		Caution:           declared.GetCaution(),
		LatencyPrice:      pricer.Money(declared.GetUrgency()),
		MoveWhenWithdrawn: declared.GetMove(),
		ExplainRouting:    declared.GetExplain(),
	}
	for i, text := range declared.GetModels() {
		c.allowVersions(fmt.Sprintf("%s.models.%d", path, i), text, policy.Versions)
	}
	for i, name := range declared.GetServices() {
		if c.catalog.Services[name] == nil {
			c.addFault(fmt.Sprintf("%s.services.%d", path, i), fmt.Sprintf("service %q is not declared", name), decoder.Suggest(name, sortedKeys(c.declaration.GetServices())))
		}
		policy.Services.Add(name)
	}
	return policy
}

// allowVersions adds the versions that "model" or "model@version" selects.
func (c *compilation) allowVersions(path, text string, into Set[VersionID]) {
	model, version, exact := strings.Cut(text, "@")
	declared := c.declaration.GetModels()[model]
	if declared == nil {
		c.addFault(path, fmt.Sprintf("model %q is not declared", model), decoder.Suggest(model, sortedKeys(c.declaration.GetModels())))
		return
	}
	if exact && declared.GetVersions()[version] == nil {
		c.addFault(path, fmt.Sprintf("version %q is not declared", text), decoder.Suggest(version, sortedKeys(declared.GetVersions())))
		return
	}
	for name := range declared.GetVersions() {
		if !exact || name == version {
			into.Add(VersionID{model, name})
		}
	}
}

// compileRollouts compiles all rollouts.
func (c *compilation) compileRollouts() {
	for _, name := range sortedKeys(c.declaration.GetRollouts()) {
		c.compileRollout(name, c.declaration.GetRollouts()[name])
	}
}

// compileRollout adds one rollout to the catalog.
func (c *compilation) compileRollout(name string, declared *schema.Rollout) {
	path := "rollouts." + name
	rollout := &Rollout{
		Name:          name,
		From:          VersionID{declared.GetModel(), declared.GetFrom()},
		To:            VersionID{declared.GetModel(), declared.GetTo()},
		Stages:        declared.GetStages(),
		Stage:         int(declared.GetStage()),
		Running:       declared.GetPhase() == schema.Phase_PHASE_RUNNING,
		Paused:        declared.GetPhase() == schema.Phase_PHASE_PAUSED,
		Done:          declared.GetPhase() == schema.Phase_PHASE_DONE,
		MaxPeople:     int(declared.GetPeople()),
		Tolerance:     declared.GetTolerance(),
		SkipShadowing: declared.GetDirect(),
	}
	for key, id := range map[string]VersionID{"from": rollout.From, "to": rollout.To} {
		if c.catalog.Versions[id] == nil {
			c.addFault(path+"."+key, fmt.Sprintf("version %q is not declared", id), decoder.Suggest(id.String(), c.versionNames()))
		}
	}
	if rollout.From == rollout.To {
		c.addFault(path+".to", "is the version that it replaces", "use another version")
	}
	c.checkStages(path, rollout)
	if !(rollout.Tolerance > 0 && rollout.Tolerance < 1) {
		c.addFault(path+".tolerance", "is not between 0 and 1", "set the loss of mean rating above which the new version counts as worse, such as 0.05")
	}
	if rollout.Running && rollout.MaxPeople == 0 {
		c.addFault(path+".people", "is missing", "set the maximum number of people that may be exposed to the new version")
	}
	c.catalog.Rollouts[name] = rollout
	if rollout.Running || rollout.Paused {
		if other := c.catalog.rolloutByTarget[rollout.To]; other != nil {
			c.addFault(path+".to", "is already being rolled out by "+other.Name, "finish or abort that rollout first")
		}
	}
	if !rollout.Done {
		c.catalog.rolloutByTarget[rollout.To] = rollout
	}
}

// checkStages checks that the shares increase within (0, 1] and that the current
// stage exists.
func (c *compilation) checkStages(path string, rollout *Rollout) {
	if len(rollout.Stages) == 0 {
		c.addFault(path+".stages", "is missing", "use increasing shares, such as [0.01, 0.1, 0.5]")
		return
	}
	if rollout.Stage >= len(rollout.Stages) {
		c.addFault(path+".stage", "is past the last stage", fmt.Sprintf("use 0 to %d", len(rollout.Stages)-1))
	}
	last := 0.0
	for i, share := range rollout.Stages {
		if !(share > last && share <= 1) {
			c.addFault(fmt.Sprintf("%s.stages.%d", path, i), "is not greater than the previous stage or not in (0, 1]", "use increasing shares, such as [0.01, 0.1, 0.5]")
		}
		last = share
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
