"""Declares a load profile's deployment on a fleet."""

from features.support import deployments
from features.support import fleets
from gypsumfold_standins import profiles

# Deadlines declared for the kinds, as multiples of their aim.
DEADLINE = 4.0


def declare(fleet: fleets.Fleet, profile: profiles.Profile) -> None:
    """Declares services, kinds, the account and all endpoints of a fleet."""
    text = deployments.create(
        "service", deployments.ENGINES, {"protocol": "engine"}
    )
    text += deployments.create("service", profile.plain, {"protocol": "plain"})
    text += deployments.create(
        "model", profile.model, {"service": deployments.ENGINES}
    )
    for kind in profile.kinds:
        plain = kind.service == "plain"
        fields = {
            "service": profile.plain if plain else deployments.ENGINES,
            "urgency": kind.urgency,
            "deadline": kind.first * DEADLINE + sum(kind.output) / 10,
            "repeatable": not plain,
        }
        text += deployments.create("kind", kind.name, fields)
    digest = fleets.sha256(deployments.TOKEN)
    text += deployments.create(
        "account", deployments.ACCOUNT, {"token_sha256": digest}
    )
    for name in fleet.endpoints:
        statement = deployments.endpoint(fleet, name)
        text += statement.replace(
            f'service = "{deployments.PLAIN}"', f'service = "{profile.plain}"'
        )
    fleet.apply(text)
    deployments.until_open(fleet, *fleet.endpoints)
