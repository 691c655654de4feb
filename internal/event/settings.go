package event

import "github.com/rs/zerolog"

// Events of loading the settings.
var (
	SettingsLoaded = define(150, zerolog.InfoLevel, "settings loaded",
		"The node read its settings; the line summarizes them without any key.", "none")
	SettingsRefused = define(151, zerolog.ErrorLevel, "settings refused",
		"The settings contain errors; the node does not start. There is one line for each error, with file, line and key.",
		"Correct each place that the lines name and start the node again.")
	SettingsChecked = define(152, zerolog.InfoLevel, "settings checked",
		"SIGHUP was received and the settings file is valid; the line states whether it differs from the settings in force.",
		"If it differs: stop and start the node to apply it.")
)
