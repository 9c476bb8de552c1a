"""The two example deployments, run on fakes."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.system import System, wait_until

EXAMPLES = Path(__file__).parent.parent / "examples"
EXAMPLE_PLATFORM = "http://127.0.0.1:7300"


@dataclass(frozen=True)
class Deployment:
    """The pools of one example: the number of VMs in each and their halls."""

    example_name: str
    pool: str
    service: str
    engines: int
    workers: int
    halls: tuple[str, ...]
    versions: str
    quality: str


QUEENSLAND = Deployment(
    "queensland",
    "pick-assist",
    "member-portal",
    10,
    3,
    ("brisbane-north", "logan", "ipswich"),
    "pick-small-1,pick-small-2,pick-large-1",
    '{"pick-small-1": 0.72, "pick-small-2": 0.75, "pick-large-1": 0.9}',
)
KENYA = Deployment(
    "kenya",
    "lm-pool",
    "orders-app",
    5,
    3,
    ("nbo-a", "nbo-b", "nbo-c"),
    "quote-small-1,quote-small-2,quote-large-1",
    '{"quote-small-1": 0.72, "quote-small-2": 0.75, "quote-large-1": 0.9}',
)


def start_fakes(system: System, deployment: Deployment, *arguments: str) -> None:
    """Starts the deployment's engines and workers and lists them."""
    for number in range(deployment.engines):
        hall = deployment.halls[number % len(deployment.halls)]
        system.start_engine(
            f"{deployment.pool}-{number}",
            deployment.pool,
            hall,
            "--versions",
            deployment.versions,
            "--quality",
            deployment.quality,
            *arguments,
        )
    for number in range(deployment.workers):
        hall = deployment.halls[number % len(deployment.halls)]
        name = f"{deployment.service}-{number}"
        system.start_worker(name, deployment.service, hall)


def resources(system: System, deployment: Deployment) -> list[dict[str, Any]]:
    """Returns the example's resources with the platform's actual address."""
    assert system.platform is not None
    text = (EXAMPLES / f"{deployment.example_name}.json").read_text()
    text = text.replace(EXAMPLE_PLATFORM, system.platform.urls["platform"])
    found: list[dict[str, Any]] = json.loads(text)
    return found


def wait_for_endpoints(system: System, count: int) -> None:
    """Waits until this many endpoints are configured and in force."""

    def listed() -> bool:
        found = system.call_api("GET", "/v1/resources/endpoint").json
        status = system.status()
        in_force: int = status["in_force_revision"]
        enough = len(found["resources"]) >= count
        return enough and in_force >= found["revision"]

    wait_until(listed, f"{count} endpoints in force")
