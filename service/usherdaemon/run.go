package usherdaemon

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/ushersetting"
	"github.com/samphireusher/samphireusher/service/ushergateway"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/usherscheduler"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

// RunGateway runs usher-gateway with the settings file at path. If checkOnly is set, it only validates the settings.
func RunGateway(ctx context.Context, path string, checkOnly bool) error {
	var settings GatewaySettings
	if err := ushersetting.Load(path, &settings); err != nil || checkOnly {
		return err
	}
	keyring, err := loadKeyring(settings.Secret.Current, settings.Secret.Accepted)
	if err != nil {
		return err
	}
	mux := &usherlink.Mux{}
	d, err := open(ctx, &settings.Common, mux)
	if err != nil {
		return err
	}
	if settings.Callers.Certificate != "" {
		if d.callerCert, err = usherkey.LoadCertificate(settings.Callers.Certificate, settings.Callers.Key); err != nil {
			return err
		}
	}
	gateway, err := ushergateway.New(ushergateway.Options{
		Name: settings.Process.Name, DataCentre: settings.Process.DataCentre, Address: settings.Listen.Address,
		Incarnation: newIncarnation(), Keyring: keyring, Config: d.feed, Grants: ushergrant.NewClient(d.node),
		Targets: ushertarget.NewClient(), Link: d.node, Log: d.log, Metrics: d.metrics,
		Limits: ushergateway.Limits{
			Requests: settings.Limits.Requests, BodyBytes: int64(settings.Limits.BodyBytes), KeptOutcomes: settings.Limits.KeptOutcomes,
		},
	})
	if err != nil {
		return err
	}
	gateway.Register(mux)
	return d.serve(ctx, gateway, gateway.Routes())
}

// RunScheduler runs usher-scheduler with the settings file at path. If checkOnly is set, it only validates the settings.
func RunScheduler(ctx context.Context, path string, checkOnly bool) error {
	var settings SchedulerSettings
	if err := ushersetting.Load(path, &settings); err != nil || checkOnly {
		return err
	}
	mux := &usherlink.Mux{}
	d, err := open(ctx, &settings.Common, mux)
	if err != nil {
		return err
	}
	scheduler, err := usherscheduler.New(usherscheduler.Options{
		Name: settings.Process.Name, DataCentre: settings.Process.DataCentre, Incarnation: newIncarnation(),
		CellByDataCentre: settings.Cell.ByDataCentre, ReportLag: settings.Cell.ReportLag, Config: d.feed,
		Targets: ushertarget.NewClient(), Link: d.node, Log: d.log, Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	scheduler.Register(mux)
	return d.serve(ctx, scheduler, nil)
}

// newIncarnation returns a number that differs between any two starts of a process. It increases from start to start
// unless the host's clock is set back.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())
}

// loadKeyring reads the fleet secrets from files. The second path may be empty.
func loadKeyring(current, accepted string) (usherrequest.Keyring, error) {
	signing, err := readSecret(current)
	if err != nil {
		return usherrequest.Keyring{}, err
	}
	if accepted == "" {
		return usherrequest.NewKeyring(signing)
	}
	other, err := readSecret(accepted)
	if err != nil {
		return usherrequest.Keyring{}, err
	}
	return usherrequest.NewKeyring(signing, other)
}

func readSecret(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ushersetting.ErrInvalid.Wrap(err, "read fleet secret")
	}
	return bytes.TrimSpace(data), nil
}
