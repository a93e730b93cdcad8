"""Steps on TLS."""

import http.client
import json
import socket
import ssl

import behave
from features.support import certificates
from features.support import fleets


@behave.given("{count:d} nodes with TLS for callers, operators and peers")
def step_nodes(context, count):
    fleet = context.fleet = fleets.Fleet("tls")
    fleet.start_platform()
    context.authority = certificates.Authority(fleet.folder)
    names = [f"entry-{number}" for number in range(count)]
    for name in names:
        fleet.add_vm(name, "north-apron", "entry")
    for name in names:
        host = fleet.host(name)
        served = context.authority.section(host, authority=False)
        mutual = context.authority.section(host)
        fleet.start_node(
            name,
            wait=False,
            callers={"tls": served},
            operators={"tls": served},
            peers={"tls": mutual},
        )


def fetch(context, node, port, method, path, body=None):
    """Makes one request over TLS, trusting the scenario's authority."""
    trusted = ssl.create_default_context(cafile=str(context.authority.path))
    connection = http.client.HTTPSConnection(
        node.host, port, timeout=30, context=trusted
    )
    token = {"Authorization": f"Bearer {fleets.OPERATOR_TOKEN}"}
    connection.request(method, path, body, token)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, json.loads(content)


def nodes_shown(context, node):
    try:
        status, found = fetch(
            context,
            node,
            fleets.OPERATORS_PORT,
            "POST",
            "/v1/queries",
            json.dumps({"text": "show nodes"}),
        )
    except ConnectionRefusedError:
        return 0
    assert status == 200, found
    return len(found["rows"])


@behave.then("the nodes hear of each other over TLS")
def step_heard(context):
    nodes = context.fleet.nodes.values()
    for node in nodes:
        context.fleet.until(
            lambda node=node: nodes_shown(context, node) == len(nodes)
        )


@behave.then("a caller that trusts the authority is answered over TLS")
def step_answered(context):
    node = context.fleet["entry-0"]
    path = "/live"
    status, _ = fetch(context, node, fleets.CALLERS_PORT, "GET", path)
    assert status == 200


@behave.then("a caller that speaks plain HTTP is not answered")
def step_plain(context):
    node = context.fleet["entry-0"]
    connection = http.client.HTTPConnection(
        node.host, fleets.CALLERS_PORT, timeout=30
    )
    connection.request("GET", "/live")
    try:
        status = connection.getresponse().status
    except (http.client.HTTPException, ConnectionError):
        return
    raise AssertionError(f"plain HTTP was answered with {status}")


@behave.then("a stranger without a certificate gets no nonce from a node")
def step_stranger(context):
    node = context.fleet["entry-0"]
    trusted = ssl.create_default_context(cafile=str(context.authority.path))
    address = (node.host, fleets.PEERS_PORT)
    with socket.create_connection(address, timeout=30) as sock:
        try:
            with trusted.wrap_socket(sock, server_hostname=node.host) as tls:
                received = tls.recv(16)
        except (ssl.SSLError, ConnectionError):
            return
    assert received == b"", received
