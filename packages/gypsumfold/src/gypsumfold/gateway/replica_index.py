"""The known replicas, by instance and by service."""

from collections import abc

from gypsumfold.gateway import types


class ReplicaIndex(dict[str, types.Replica]):
    """Replicas by instance, with an index by service.

    A gateway looks up the replicas of a service several times for each call. A
    scan of 2,900 replicas takes about 0.1 ms each time.

    >>> replicas = ReplicaIndex()
    >>> replicas["i-1"] = replica
    >>> list(replicas.in_service("seats"))
    [Replica(...)]
    """

    # Those of `dict` would bypass the index.
    clear = abc.MutableMapping.clear
    pop = abc.MutableMapping.pop
    popitem = abc.MutableMapping.popitem
    setdefault = abc.MutableMapping.setdefault
    update = abc.MutableMapping.update

    def __init__(self):
        super().__init__()
        self.by_service: dict[str, dict[str, types.Replica]] = {}

    def __setitem__(self, instance: str, replica: types.Replica) -> None:
        old = self.get(instance)
        if old is not None and old.service != replica.service:
            self.remove_from_service(instance, old)
        super().__setitem__(instance, replica)
        self.by_service.setdefault(replica.service, {})[instance] = replica

    def __delitem__(self, instance: str) -> None:
        old = self[instance]
        super().__delitem__(instance)
        self.remove_from_service(instance, old)

    def remove_from_service(
        self, instance: str, replica: types.Replica
    ) -> None:
        """Removes a replica from the index of its service."""
        members = self.by_service[replica.service]
        del members[instance]
        if not members:
            del self.by_service[replica.service]

    def in_service(self, service: str) -> abc.Collection[types.Replica]:
        """Returns the replicas of a service, in the order of their arrival."""
        return self.by_service.get(service, {}).values()
