"""Serve online and batch inference on one fleet."""

__version__ = "0.1.0"

__all__ = ["__version__"]
