package event

import "github.com/rs/zerolog"

// Events of reading the settings.
var (
	SettingsLoaded = define(150, zerolog.InfoLevel, "settings loaded",
		"The node read its settings; the line sums them up without any key.", "none")
	SettingsRefused = define(151, zerolog.ErrorLevel, "settings refused",
		"The settings have faults; the node does not start. One line for each fault, with file, line and key.",
		"Mend each place that the lines name and start the node again.")
	SettingsChecked = define(152, zerolog.InfoLevel, "settings checked anew",
		"SIGHUP came and the settings file is sound; the line says whether it differs from what is in force.",
		"When it differs: stop and start the node to use it.")
)
