"""The handle that tests have on one forward of the fault proxy."""

from typing import Any

from features.support import http


class Proxy:
    """A listening address in front of a target, with faults.

    Each fault may be limited to connections from one source, such as a
    node's host; without one it holds for all.

    >>> proxy = fleet.proxy(engine)
    >>> proxy.cut(source=node.host)
    """

    def __init__(self, control: str, listen: str):
        self.control = f"{control}/_test/forwards"
        self.address = listen
        self.host = listen.rpartition(":")[0]
        self.url = f"http://{listen}"

    def faults(self, source: str = "", **changes) -> None:
        """Changes the switches; see `gypsumfold_standins.proxy.Faults`."""
        self.tell("faults", source, changes)

    def cut(self, source: str = "") -> None:
        """Resets all connections and refuses new ones."""
        self.faults(source, cut=True)

    def partition(self, source: str = "") -> None:
        """Lets nothing pass and closes nothing."""
        self.faults(source, partitioned=True)

    def delay(self, seconds: float, source: str = "") -> None:
        """Makes each chunk late, either way."""
        self.faults(source, delay=seconds)

    def silence(self, source: str = "") -> None:
        """Makes open connections silent for good; new ones work."""
        self.tell("silence", source, {})

    def swallow_answers(
        self, count: int, match: str = "", source: str = ""
    ) -> None:
        """Drops the answers of the next requests that contain a text."""
        self.faults(source, swallow=count, match=match)

    def hold(self, match: str = "", source: str = "") -> None:
        """Holds requests that contain a text back until `release`."""
        self.faults(source, hold=True, match=match)

    def release(self, source: str = "") -> None:
        """Lets held requests go to the target, though their sender went."""
        self.faults(source, hold=False)

    def drip(self, rate: float, source: str = "") -> None:
        """Limits the bytes a second, either way."""
        self.faults(source, rate=rate)

    def heal(self) -> None:
        """Ends all faults for all sources; what is silent stays silent."""
        self.tell("heal", "", {})

    def record(self) -> dict[str, Any]:
        """Counts of connections, their sources, held and swallowed."""
        return http.get(f"{self.control}/{self.address}").json()

    def tell(self, verb: str, source: str, body: dict) -> None:
        """Sends one change to the proxy."""
        url = f"{self.control}/{self.address}/{verb}?source={source}"
        answer = http.post(url, body)
        assert answer.status == 200, answer
