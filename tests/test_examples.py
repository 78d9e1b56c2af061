"""The example settings: valid, of the expected sizes, and equal to their generator."""

import pytest

from lab.examples import ALL, EXAMPLES, write_example
from lavendergap.state.settings import GiveUpStragglers, WaitForCoverage
from lavendergap.state.tree import load_settings

MAX_NON_EPHEMERAL_PORT = 32_767


def load(name):
    return load_settings(EXAMPLES / f"{name}.jsonc")


def list_ports(settings):
    ports = {settings.platform.port}
    for host in settings.hosts:
        ports |= {host.callers.port, host.peers.port, host.admin.port}
    for service in settings.services:
        for group in service.groups:
            ports |= {server.address.port for server in group.servers}
    return ports


def describe(service):
    """Return name, number of groups and servers, slots, connections, idempotence."""
    servers = [server for group in service.groups for server in group.servers]
    (slots,) = {server.slots for server in servers}
    (connections,) = {server.connections for server in servers}
    sizes = (len(service.groups), len(servers), slots, connections)
    return (service.name, *sizes, service.idempotent)


class TestExamples:
    @pytest.mark.parametrize("example", ALL, ids=lambda example: example.name)
    def test_the_file_equals_its_generator_s_output(self, example):
        path = EXAMPLES / f"{example.name}.jsonc"
        assert path.read_text(encoding="utf-8") == write_example(example)

    @pytest.mark.parametrize("example", ALL, ids=lambda example: example.name)
    def test_ports_are_below_the_ephemeral_range(self, example):
        ports = list_ports(load(example.name))
        assert max(ports) <= MAX_NON_EPHEMERAL_PORT

    def test_replicas_of_a_group_are_in_different_data_centres(self):
        for example in ALL:
            for service in load(example.name).services:
                for group in service.groups:
                    group_data_centres = {
                        server.data_centre for server in group.servers
                    }
                    wanted = min(len(example.data_centres), len(group.servers))
                    assert len(group_data_centres) == wanted

    def test_the_examples_share_no_ports(self):
        assert not list_ports(load("cedarlight")) & list_ports(load("qureshi"))

    def test_cedarlight_has_its_current_sizes(self):
        settings = load("cedarlight")
        assert len(settings.hosts) == 7
        assert len({host.data_centre for host in settings.hosts}) == 4
        assert [describe(service) for service in settings.services] == [
            ("scheduler", 20, 40, 2, 25, True),
            ("composer", 30, 60, 2, 25, True),
            ("installer-desk", 1, 4, 2, 100, True),
            ("sponsor-ledger", 1, 4, 2, 100, False),
        ]
        policies = {service.stragglers for service in settings.services}
        assert policies == {GiveUpStragglers(min_share=0.95, patience=2.0)}

    def test_qureshi_has_its_current_sizes(self):
        settings = load("qureshi")
        assert len(settings.hosts) == 6
        assert len({host.data_centre for host in settings.hosts}) == 3
        assert [describe(service) for service in settings.services] == [
            ("dispatch", 20, 40, 2, 25, True),
            ("invoicing", 30, 60, 2, 25, True),
            ("contracts", 1, 3, 6, 50, False),
            ("maintenance", 1, 3, 6, 50, True),
        ]
        policies = {service.stragglers for service in settings.services}
        assert policies == {WaitForCoverage()}
