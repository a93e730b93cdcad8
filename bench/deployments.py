"""The two deployments as they are measured: processes, kinds and load."""

from typing import NamedTuple

from features.support import deployments
from features.support import fleets

# Half the stand-in's model speed: 50 requests a second fill six engines, so
# that the driver and 18 processes fit on one machine.
SPEED = 0.5
ENTRY_NODES = 6
ACCOUNTS = ("account-1", "account-2", "account-3", "account-4")
# Settings as they are by default; tests use shorter ones.
SETTINGS = {
    "endpoints": {"poll": 0.25, "silent_after": 2.0, "idle_timeout": 5.0},
    "peers": {"heartbeat": 0.5},
    "control": {"duration": 6.0, "renewal": 2.0, "drift": 1.0},
}


class Kind(NamedTuple):
    """One kind of request.

    Attributes:
        name: As declared.
        service: ``engine`` or ``plain``.
        urgency: As declared.
        deadline: Seconds.
        prompt: Tokens of the prompt.
        output: Most tokens of the answer.
        share: Of all requests.
    """

    name: str
    service: str
    urgency: int
    deadline: float
    prompt: int
    output: int
    share: float


class Deployment(NamedTuple):
    """One of the users' fleets."""

    name: str
    data_centres: tuple[str, ...]
    plain: int
    kinds: tuple[Kind, ...]


RAMP_TOWAGE = Deployment(
    "ramp-towage",
    ("north-apron", "cargo-ramp", "south-pen"),
    3,
    (
        Kind("tug", "plain", 0, 2.0, 0, 0, 0.10),
        Kind("swap", "engine", 0, 3.0, 200, 32, 0.20),
        Kind("briefing", "engine", 5, 8.0, 800, 64, 0.70),
    ),
)
BIMAH = Deployment(
    "bimah",
    ("brum-a", "brum-b", "notts", "leic"),
    4,
    (
        Kind("hold", "plain", 0, 2.0, 0, 0, 0.20),
        Kind("question", "engine", 1, 3.0, 200, 32, 0.40),
        Kind("plan", "engine", 6, 20.0, 2400, 64, 0.40),
    ),
)
DEPLOYMENTS = {one.name: one for one in (RAMP_TOWAGE, BIMAH)}


class BenchFleet(fleets.Fleet):
    """A fleet whose nodes can be the baseline's."""

    baseline = False

    def start(self, name, module, arguments, port):
        """Starts a process, a node with the scheduler to be measured."""
        if module == "gypsumfold.main" and self.baseline:
            module = "bench.baseline_node"
        return super().start(name, module, arguments, port)


def start(deployment: Deployment, baseline: bool, seed: int) -> BenchFleet:
    """Starts and declares a whole deployment."""
    fleet = BenchFleet(f"bench-{deployment.name}", seed)
    fleet.baseline = baseline
    fleet.start_platform()
    centres = deployment.data_centres
    for number in range(6):
        centre = centres[number % len(centres)]
        fleet.start_engine(f"lm-{number + 1}", centre, speed=SPEED)
    for number in range(deployment.plain):
        centre = centres[number % len(centres)]
        fleet.start_service(f"app-{number + 1}", centre, seconds=0.05)
    names = [f"entry-{number + 1}" for number in range(ENTRY_NODES)]
    for number, name in enumerate(names):
        centre = centres[number % len(centres)]
        fleet.add_vm(name, centre, "entry")
        fleet.start_node(name, centre, wait=False, **SETTINGS)
    for name in names:
        fleet[name].until_ready("/ready")
    declare(fleet, deployment)
    return fleet


def declare(fleet: fleets.Fleet, deployment: Deployment) -> None:
    """Declares services, kinds, accounts and endpoints."""
    create = deployments.create
    text = create("service", deployments.ENGINES, {"protocol": "engine"})
    text += create("service", deployments.PLAIN, {"protocol": "plain"})
    model = {"service": deployments.ENGINES}
    text += create("model", deployments.MODEL, model)
    for kind in deployment.kinds:
        plain = kind.service == "plain"
        fields = {
            "service": deployments.PLAIN if plain else deployments.ENGINES,
            "urgency": kind.urgency,
            "deadline": kind.deadline,
            "repeatable": not plain,
        }
        text += create("kind", kind.name, fields)
    for account in ACCOUNTS:
        digest = fleets.sha256(f"{account}-token")
        text += create("account", account, {"token_sha256": digest})
    for name in fleet.endpoints:
        text += deployments.endpoint(fleet, name)
    fleet.apply(text)
    deployments.until_open(fleet, *fleet.endpoints)
