package usherfleet

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

// withTemplates declares templates for all kinds of requests: streamed and whole delivery, idempotent and not
// idempotent, with and without a stored answer. It also declares the workspaces.
func withTemplates(s usherconfig.Snapshot) usherconfig.Snapshot {
	entry := usherconfig.Parameter{Name: "entry", Type: usherconfig.StringParameter, Min: 1, Max: 16 << 10, Required: true}
	artisan := usherconfig.Parameter{Name: "artisan", Type: usherconfig.StringParameter, Min: 1, Max: 100, Required: true}
	generation := usherconfig.Template{
		Kind: usherconfig.GenerationTemplate, Service: "appraiser", Idempotent: true, MaxOutputTokens: 4000, Timeout: time.Minute,
	}
	appraisal := generation.WithParameter(entry).WithPrompt("Appraise this entry.\n{entry}")
	appraisal.Name, appraisal.Delivery, appraisal.Priority = "appraisal", usherconfig.StreamDelivery, 5
	plan := generation.WithParameter(entry).WithPrompt("Draft a lesson plan.\n{entry}")
	plan.Name, plan.Delivery, plan.Priority = "plan", usherconfig.WholeDelivery, 3
	keptAppraisal := appraisal
	keptAppraisal.Name, keptAppraisal.KeepAnswer = "kept", true
	call := usherconfig.Template{Kind: usherconfig.CallTemplate, Service: "registry", Delivery: usherconfig.WholeDelivery, Priority: 8, Timeout: 10 * time.Second}
	standing := call.WithParameter(artisan)
	standing.Name, standing.Idempotent = "standing", true
	allotment := call.WithParameter(artisan)
	allotment.Name = "allotment"
	for _, t := range []usherconfig.Template{appraisal, plan, keptAppraisal, standing, allotment} {
		s = s.WithTemplate(t)
	}
	return withWorkspaces(s)
}

func withWorkspaces(s usherconfig.Snapshot) usherconfig.Snapshot {
	for name, key := range map[string]string{Workspace: APIKey, OtherWorkspace: OtherAPIKey} {
		s = s.WithWorkspace(usherconfig.Workspace{
			Name: name, RequestsPerSecond: 1000, Burst: 1000, Weight: 1, KeyHash: usherconfig.HashKey(key),
		})
	}
	return s
}
