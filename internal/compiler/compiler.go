// Package compiler checks a declaration and turns it into the catalog that the
// request path reads.
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

const (
	defaultMaxOutput = 1024
	defaultSlots     = 8
)

// compilation is one run of the compiler.
type compilation struct {
	declaration *schema.Declaration
	catalog     *Catalog
	faults      decoder.Faults
}

// Compile checks the declaration and returns its catalog. The error is a
// decoder.Faults whose paths are dotted keys of the declaration.
func Compile(revision uint64, declaration *schema.Declaration) (*Catalog, error) {
	c := &compilation{
		declaration: declaration,
		catalog: &Catalog{
			Revision: revision,
			Cluster:  declaration.GetCluster(),
			Zones:    Set[string]{},
			Versions: map[VersionID]*Version{},
			Services: map[string]*Service{},
			Accounts: map[string]*Account{},
			Rollouts: map[string]*Rollout{},
			Workers:  map[netip.AddrPort]*Worker{},
			keys:     map[[sha256.Size]byte]*Account{},
			serving:  map[VersionID][]*Worker{},
			rolling:  map[VersionID]*Rollout{},
		},
	}
	if declaration.GetCluster() == "" {
		c.fault("cluster", "is missing", "name the cluster")
	}
	for name := range declaration.GetZones() {
		c.catalog.Zones.Add(name)
	}
	c.models()
	c.services()
	c.templates()
	c.accounts()
	c.rollouts()
	if err := c.faults.Err(); err != nil {
		return nil, err
	}
	return c.catalog, nil
}

func (c *compilation) fault(path, message, fix string) {
	c.faults = append(c.faults, decoder.Fault{Path: path, Message: message, Fix: fix})
}

func (c *compilation) models() {
	for _, model := range sorted(c.declaration.GetModels()) {
		versions := c.declaration.GetModels()[model].GetVersions()
		if len(versions) == 0 {
			c.fault("models."+model, "has no version", "add one under models."+model+".versions")
		}
		for _, name := range sorted(versions) {
			c.version(VersionID{model, name}, versions[name])
		}
	}
}

func (c *compilation) version(id VersionID, declared *schema.Version) {
	path := "models." + id.Model + ".versions." + id.Version
	price := pricer.Price{Input: pricer.Money(declared.GetPrice().GetInput()), Output: pricer.Money(declared.GetPrice().GetOutput())}
	if price.Input < 0 || price.Output < 0 {
		c.fault(path+".price", "is negative", "use 0 or more millionths of the currency unit")
	}
	c.unit(path+".quality", declared.GetQuality())
	maxOutput := int(declared.GetOutput())
	if maxOutput == 0 {
		maxOutput = defaultMaxOutput
	}
	c.catalog.Versions[id] = &Version{
		ID:         id,
		Price:      price,
		Prior:      declared.GetQuality(),
		Withdrawn:  declared.GetWithdrawn(),
		Generation: declared.GetGeneration(),
		MaxOutput:  maxOutput,
	}
}

// unit checks that a number lies in [0, 1].
func (c *compilation) unit(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.fault(path, fmt.Sprintf("%v is not in [0, 1]", value), "use a number from 0 to 1")
	}
}

func (c *compilation) services() {
	for _, name := range sorted(c.declaration.GetServices()) {
		declared := c.declaration.GetServices()[name]
		path := "services." + name
		if declared.GetKind() == schema.Kind_KIND_UNSPECIFIED {
			c.fault(path+".kind", "is missing", `use "model" or "plain"`)
		}
		service := &Service{
			Name:       name,
			Plain:      declared.GetKind() == schema.Kind_KIND_PLAIN,
			idempotent: map[string]bool{},
			Fee:        pricer.Money(declared.GetFee()),
			Fenced:     declared.GetFenced(),
		}
		for _, call := range sorted(declared.GetCalls()) {
			method, target, _ := strings.Cut(call, " ")
			if method != strings.ToUpper(method) || !strings.HasPrefix(target, "/") {
				c.fault(path+".calls."+call, "is not a call", `write it as "POST /bookings"`)
			}
			service.idempotent[call] = declared.GetCalls()[call].GetIdempotent()
		}
		c.catalog.Services[name] = service
		for i, worker := range declared.GetWorkers() {
			c.worker(service, path+".workers."+strconv.Itoa(i), worker)
		}
	}
}

func (c *compilation) worker(service *Service, path string, declared *schema.Worker) {
	address, err := netip.ParseAddrPort(declared.GetAddress())
	if err != nil {
		c.fault(path+".address", fmt.Sprintf("%q is not an address", declared.GetAddress()), `write it as "10.0.0.1:9000"`)
		return
	}
	if c.catalog.Workers[address] != nil {
		c.fault(path+".address", declared.GetAddress()+" is used twice", "give each worker its own address")
	}
	if !c.catalog.Zones.Has(declared.GetZone()) {
		c.fault(path+".zone", fmt.Sprintf("zone %q is not declared", declared.GetZone()), decoder.Suggest(declared.GetZone(), sorted(c.declaration.GetZones())))
	}
	slots := int(declared.GetSlots())
	if slots == 0 {
		slots = defaultSlots
	}
	worker := &Worker{Address: address, Zone: declared.GetZone(), Service: service.Name, Slots: slots, Versions: Set[VersionID]{}}
	for i, text := range declared.GetVersions() {
		id, ok := ParseVersion(text)
		if !ok || c.catalog.Versions[id] == nil {
			c.fault(fmt.Sprintf("%s.versions.%d", path, i), fmt.Sprintf("version %q is not declared", text), decoder.Suggest(text, c.versionNames()))
			continue
		}
		worker.Versions.Add(id)
		c.catalog.serving[id] = append(c.catalog.serving[id], worker)
	}
	c.catalog.Workers[address] = worker
	service.Workers = append(service.Workers, worker)
}

func (c *compilation) versionNames() []string {
	var names []string
	for id := range c.catalog.Versions {
		names = append(names, id.String())
	}
	slices.Sort(names)
	return names
}

// templates checks each template's policy on its own, so that a misspelt key
// is found even when no account uses the template.
func (c *compilation) templates() {
	for _, name := range sorted(c.declaration.GetTemplates()) {
		template := c.declaration.GetTemplates()[name]
		path := "templates." + name
		for _, parameter := range sorted(template.GetDefaults().GetFields()) {
			if !slices.Contains(template.GetParameters(), parameter) {
				c.fault(path+".defaults."+parameter, "is not a parameter of the template", decoder.Suggest(parameter, template.GetParameters()))
			}
		}
		fields := (&schema.Policy{}).ProtoReflect().Descriptor().Fields()
		for _, key := range sorted(template.GetPolicy().GetFields()) {
			if fields.ByTextName(key) == nil {
				var names []string
				for i := range fields.Len() {
					names = append(names, fields.Get(i).TextName())
				}
				c.fault(path+".policy."+key, "unknown key", decoder.Suggest(key, names))
			}
		}
	}
}

func (c *compilation) accounts() {
	for _, name := range sorted(c.declaration.GetAccounts()) {
		declared := c.declaration.GetAccounts()[name]
		path := "accounts." + name
		template := c.declaration.GetTemplates()[declared.GetTemplate()]
		if template == nil {
			c.fault(path+".template", fmt.Sprintf("template %q is not declared", declared.GetTemplate()), decoder.Suggest(declared.GetTemplate(), sorted(c.declaration.GetTemplates())))
			continue
		}
		policy, faults := expand(path, declared, template)
		c.faults = append(c.faults, faults...)
		if len(faults) > 0 {
			continue
		}
		account := &Account{Name: name, Policy: c.policy("templates."+declared.GetTemplate()+".policy", policy)}
		c.catalog.Accounts[name] = account
		c.accountKeys(path, account, declared.GetKeys())
	}
}

func (c *compilation) accountKeys(path string, account *Account, keys []string) {
	if len(keys) == 0 {
		c.fault(path+".keys", "is missing", "give the SHA-256 digest of at least one API key")
	}
	for i, text := range keys {
		at := fmt.Sprintf("%s.keys.%d", path, i)
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			c.fault(at, "is not a SHA-256 digest", "use the 64 hexadecimal digits that `quetzalgrade key` prints")
			continue
		}
		if other := c.catalog.keys[[sha256.Size]byte(digest)]; other != nil {
			c.fault(at, "is also a key of account "+other.Name, "give each account its own keys")
		}
		c.catalog.keys[[sha256.Size]byte(digest)] = account
	}
}

// expand fills an account's parameters into its template.
func expand(path string, account *schema.Account, template *schema.Template) (*schema.Policy, decoder.Faults) {
	var faults decoder.Faults
	values := map[string]*structpb.Value{}
	for name, value := range template.GetDefaults().GetFields() {
		values[name] = value
	}
	for _, name := range sorted(account.GetParameters().GetFields()) {
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
	at := "templates." + account.GetTemplate() + ".policy"
	tree := map[string]any{} // generic tree for the decoder
	for _, key := range sorted(template.GetPolicy().GetFields()) {
		value, wrong := substitute(at+"."+key, template.GetPolicy().GetFields()[key], values)
		faults = append(faults, wrong...)
		tree[key] = value
	}
	if len(faults) > 0 {
		return nil, faults
	}
	policy := &schema.Policy{}
	return policy, decoder.DecodeTree(tree, policy.ProtoReflect(), at)
}

// substitute replaces "${name}" by the parameter's value.
func substitute(path string, value *structpb.Value, values map[string]*structpb.Value) (any, decoder.Faults) {
	if list := value.GetListValue(); list != nil {
		var faults decoder.Faults
		var items []any
		for i, item := range list.GetValues() {
			replaced, wrong := substitute(fmt.Sprintf("%s.%d", path, i), item, values)
			faults = append(faults, wrong...)
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
		return nil, decoder.Faults{{Path: path, Message: fmt.Sprintf("%q names no parameter", text), Fix: decoder.Suggest(name, sorted(values))}}
	}
	return values[name].AsInterface(), nil
}

func (c *compilation) policy(path string, declared *schema.Policy) Policy {
	c.unit(path+".quality", declared.GetQuality())
	c.unit(path+".caution", declared.GetCaution())
	if declared.GetDeadline().AsDuration() <= 0 {
		c.fault(path+".deadline", "is missing", `give the longest time a request may take, such as "30s"`)
	}
	if !(declared.GetRate() >= 0) || math.IsInf(declared.GetRate(), 0) {
		c.fault(path+".rate", "is negative", "use 0 for no limit")
	}
	if declared.GetSpend() < 0 {
		c.fault(path+".spend", "is negative", "use 0 for no limit")
	}
	weight := declared.GetWeight()
	if weight == 0 {
		weight = 1
	}
	if !(weight > 0) {
		c.fault(path+".weight", "is not positive", "use a number above 0")
	}
	policy := Policy{
		Versions: Set[VersionID]{},
		Services: Set[string]{},
		Quality:  declared.GetQuality(),
		Spend:    pricer.Money(declared.GetSpend()),
		Rate:     declared.GetRate(),
		Parallel: int(declared.GetParallel()),
		Weight:   weight,
		Priority: int(declared.GetPriority()),
		Deadline: declared.GetDeadline().AsDuration(),
		Caution:  declared.GetCaution(),
		Urgency:  pricer.Money(declared.GetUrgency()),
		Move:     declared.GetMove(),
		Explain:  declared.GetExplain(),
	}
	for i, text := range declared.GetModels() {
		c.allow(fmt.Sprintf("%s.models.%d", path, i), text, policy.Versions)
	}
	for i, name := range declared.GetServices() {
		if c.catalog.Services[name] == nil {
			c.fault(fmt.Sprintf("%s.services.%d", path, i), fmt.Sprintf("service %q is not declared", name), decoder.Suggest(name, sorted(c.declaration.GetServices())))
		}
		policy.Services.Add(name)
	}
	return policy
}

// allow adds the versions that "model" or "model@version" names.
func (c *compilation) allow(path, text string, into Set[VersionID]) {
	model, version, exact := strings.Cut(text, "@")
	declared := c.declaration.GetModels()[model]
	if declared == nil {
		c.fault(path, fmt.Sprintf("model %q is not declared", model), decoder.Suggest(model, sorted(c.declaration.GetModels())))
		return
	}
	if exact && declared.GetVersions()[version] == nil {
		c.fault(path, fmt.Sprintf("version %q is not declared", text), decoder.Suggest(version, sorted(declared.GetVersions())))
		return
	}
	for name := range declared.GetVersions() {
		if !exact || name == version {
			into.Add(VersionID{model, name})
		}
	}
}

func (c *compilation) rollouts() {
	for _, name := range sorted(c.declaration.GetRollouts()) {
		c.rollout(name, c.declaration.GetRollouts()[name])
	}
}

func (c *compilation) rollout(name string, declared *schema.Rollout) {
	path := "rollouts." + name
	rollout := &Rollout{
		Name:      name,
		From:      VersionID{declared.GetModel(), declared.GetFrom()},
		To:        VersionID{declared.GetModel(), declared.GetTo()},
		Stages:    declared.GetStages(),
		Stage:     int(declared.GetStage()),
		Running:   declared.GetPhase() == schema.Phase_PHASE_RUNNING,
		Paused:    declared.GetPhase() == schema.Phase_PHASE_PAUSED,
		Done:      declared.GetPhase() == schema.Phase_PHASE_DONE,
		People:    int(declared.GetPeople()),
		Tolerance: declared.GetTolerance(),
		Direct:    declared.GetDirect(),
	}
	for key, id := range map[string]VersionID{"from": rollout.From, "to": rollout.To} {
		if c.catalog.Versions[id] == nil {
			c.fault(path+"."+key, fmt.Sprintf("version %q is not declared", id), decoder.Suggest(id.String(), c.versionNames()))
		}
	}
	if rollout.From == rollout.To {
		c.fault(path+".to", "is the version that it replaces", "name another version")
	}
	c.stages(path, rollout)
	if !(rollout.Tolerance > 0 && rollout.Tolerance < 1) {
		c.fault(path+".tolerance", "is not between 0 and 1", "give the loss of mean rating that counts as worse, such as 0.05")
	}
	if rollout.Running && rollout.People == 0 {
		c.fault(path+".people", "is missing", "give the largest number of people that may see the new version")
	}
	c.catalog.Rollouts[name] = rollout
	if rollout.Running || rollout.Paused {
		if other := c.catalog.rolling[rollout.To]; other != nil {
			c.fault(path+".to", "is already being rolled out by "+other.Name, "finish or abort that roll-out first")
		}
	}
	if !rollout.Done {
		c.catalog.rolling[rollout.To] = rollout
	}
}

func (c *compilation) stages(path string, rollout *Rollout) {
	if len(rollout.Stages) == 0 {
		c.fault(path+".stages", "is missing", "give rising shares, such as [0.01, 0.1, 0.5]")
		return
	}
	if rollout.Stage >= len(rollout.Stages) {
		c.fault(path+".stage", "is past the last stage", fmt.Sprintf("use 0 to %d", len(rollout.Stages)-1))
	}
	last := 0.0
	for i, share := range rollout.Stages {
		if !(share > last && share <= 1) {
			c.fault(fmt.Sprintf("%s.stages.%d", path, i), "does not rise within (0, 1]", "give rising shares, such as [0.01, 0.1, 0.5]")
		}
		last = share
	}
}

// sorted returns the keys of a map in order.
func sorted[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
