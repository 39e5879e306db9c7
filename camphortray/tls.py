"""TLS contexts made from settings."""

__all__ = [
    "caller_context",
    "peer_client_context",
    "peer_server_context",
]

import functools
import ssl

from camphortray import config as configs


@functools.cache
def caller_context(config: configs.TlsConfig) -> ssl.SSLContext | None:
    """Return the context of the callers' port, or None for plain TCP."""
    if not config.callers:
        return None
    return own_context(config, ssl.PROTOCOL_TLS_SERVER)


def own_context(
    config: configs.TlsConfig, protocol: ssl._SSLMethod
) -> ssl.SSLContext:
    """Return a context that shows this host's certificate."""
    context = ssl.SSLContext(protocol)
    context.load_cert_chain(config.certificate, config.key)
    return context


@functools.cache
def peer_server_context(config: configs.TlsConfig) -> ssl.SSLContext | None:
    """Return the context of a peer port; callers must show a certificate."""
    if not config.peer_ca:
        return None
    context = own_context(config, ssl.PROTOCOL_TLS_SERVER)
    context.load_verify_locations(config.peer_ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


@functools.cache
def peer_client_context(config: configs.TlsConfig) -> ssl.SSLContext | None:
    """Return the context with which a host connects to its peers."""
    if not config.peer_ca:
        return None
    context = own_context(config, ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(config.peer_ca)
    # The CA signs hosts and nothing else, and hosts are known by IP
    # numbers that change; who signed is what is checked.
    context.check_hostname = False
    return context
