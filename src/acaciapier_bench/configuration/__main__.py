"""Runs the measurement of the configuration on its own."""

import cappa

from .command import ConfigurationCommand

cappa.invoke(ConfigurationCommand)
