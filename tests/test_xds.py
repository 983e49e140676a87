"""xDS over REST-JSON, polled as a proxy does."""

import http.client
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Answer, Node, take

XDS = 'enabled = true\nlisten = "127.0.0.1:0"\npoll_s = 0.3\n'


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, writers=2, files={"xds.toml": XDS}) as node:
        yield node


def poll(node: Node, resource: str = "endpoints", **fields: Any) -> http.client.HTTPConnection:
    client = node.client("xds")
    client.request("POST", f"/v3/discovery:{resource}", json.dumps({"node": {"id": "envoy-1"}} | fields))
    return client


def endpoints(answer: Answer, cluster: str) -> list[Any]:
    for assignment in answer.json()["resources"]:
        if assignment["cluster_name"] == cluster:
            return [each for locality in assignment["endpoints"] for each in locality["lb_endpoints"]]
    raise AssertionError(cluster)


def test_a_poll_returns_the_clusters_and_their_endpoints(node: Node) -> None:
    answer = take(poll(node, "clusters")).json()
    assert [each["name"] for each in answer["resources"]] == ["readers", "writers", "mixed"]
    assert answer["type_url"].endswith("cluster.v3.Cluster") and answer["nonce"]
    response = take(poll(node, resource_names=["writers"]))
    writers = endpoints(response, "writers")
    ports = {each["endpoint"]["address"]["socket_address"]["port_value"] for each in writers}
    assert ports == {int(each.address.split(":")[1]) for each in node.writer}
    locality = response.json()["resources"][0]["endpoints"][0]
    assert (
        locality["locality"] == {"zone": "east", "sub_zone": "1"} and locality["load_balancing_weight"] == 200
    )
    assert len(response.json()["resources"]) == 1


def test_an_acknowledged_version_is_not_sent_again(node: Node) -> None:
    first = take(poll(node)).json()
    known = {"version_info": first["version_info"], "response_nonce": first["nonce"]}
    assert take(poll(node, **known)).status == 304
    assert take(poll(node, versionInfo=first["version_info"])).status == 304


def test_a_drain_wakes_a_waiting_poll(tmp_path: Path) -> None:
    with Node(tmp_path, writers=2, files={"xds.toml": XDS.replace("0.3", "9")}) as node:
        first = take(poll(node)).json()
        client = poll(node, version_info=first["version_info"], response_nonce=first["nonce"])
        node.watches.get(timeout=10).chunk(json.dumps(node.listing(8, w0="leaving")) + "\n")
        response = take(client)
        health = {each["health_status"] for each in endpoints(response, "writers")}
        assert health == {"HEALTHY", "DRAINING"} and response.json()["version_info"] != first["version_info"]


def test_a_cold_server_has_a_lower_weight(node: Node) -> None:
    listing = node.listing(8)
    listing["endpoints"][1]["since_ms"] = 4_000_000_000_000  # in the future: counts as started now
    node.watches.get(timeout=10).chunk(json.dumps(listing) + "\n")
    while node.logged("endpoint_list_received")["index"] != 8:
        pass
    weights = sorted(each["load_balancing_weight"] for each in endpoints(take(poll(node)), "writers"))
    assert weights[0] < weights[1] == 100


def test_a_rejected_version_is_logged_and_not_offered_again(node: Node) -> None:
    first = take(poll(node)).json()
    client = poll(node, version_info="", response_nonce=first["nonce"], error_detail={"message": "no"})
    assert take(client).status == 304
    assert node.logged("xds_rejected")["detail"] == {"message": "no"}


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/v3/discovery:listeners", "{}", 404),
        ("/v3/discovery:endpoints", "{", 400),
        ("/v3/discovery:endpoints", "[]", 400),
        ("/v3/discovery:endpoints", '{"type_url":"other"}', 400),
        ("/v3/discovery:endpoints", '{"resource_names":[1]}', 400),
    ],
)
def test_invalid_polls_are_rejected(node: Node, path: str, body: str, status: int) -> None:
    client = node.client("xds")
    client.request("POST", path, body)
    assert take(client).status == status
