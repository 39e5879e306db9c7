"""Ports of clusters side by side."""

import socket

import pytest

from camphortray import cluster


def test_two_blocks_share_no_port(monkeypatch):
    """Two suites at once were given one port, which one could not bind."""
    start = cluster.port_block().claim.getsockname()[1] + 500
    ports = range(start, start + 20)
    monkeypatch.setattr(cluster, "BLOCK_PORTS", 10)
    blocks = [cluster.PortBlock.from_range(ports) for _ in range(2)]
    found = [{next(block.ports) for _ in range(20)} for block in blocks]
    assert [len(each) for each in found] == [9, 9]
    assert not found[0] & found[1]
    with pytest.raises(OSError, match="no block"):
        cluster.PortBlock.from_range(ports)
    for block in blocks:
        block.claim.close()


def test_ports_given_are_free_and_differ():
    ports = [cluster.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    for port in ports:
        with socket.socket() as probe:
            probe.bind((cluster.LOOPBACK, port))
