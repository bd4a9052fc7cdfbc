// Package daemon forwards to package controller.
package daemon

import (
	"gingertally/internal/config"
	"gingertally/internal/controller"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
	"gingertally/internal/controller/replication"
	"gingertally/internal/operator"
)

// Names of package controller and its parts.
type (
	Status          = operatorapi.Status
	StandbyStatus   = replication.Status
	AdmissionStatus = overload.Status
	ClassDecision   = overload.ClassStatus
)

// Constants of package controller and its parts.
const (
	Version    = controller.Version
	StatusPath = operatorapi.StatusPath
	DrainsPath = operatorapi.DrainsPath
)

// New makes a controller.
func New(settings *config.Settings, operatorSettings operator.Settings) (*controller.Controller, error) {
	return controller.New(settings, operatorSettings)
}
