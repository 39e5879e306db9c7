"""Plug-ins for the backends; importing this registers them all."""

from camphortray.plugins import http_host_list
from camphortray.plugins import http_log
from camphortray.plugins import http_service
from camphortray.plugins import http_weights
from camphortray.plugins import openai_engine

__all__ = [
    "http_host_list",
    "http_log",
    "http_service",
    "http_weights",
    "openai_engine",
]
