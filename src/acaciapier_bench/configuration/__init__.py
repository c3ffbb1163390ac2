"""Measurements of the configuration: its log, its distribution, outages."""

from .command import ConfigurationCommand
from .measure import ConfigurationOptions, measure_configuration

__all__ = ["ConfigurationCommand", "ConfigurationOptions", "measure_configuration"]
