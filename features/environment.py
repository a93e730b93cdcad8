"""What behave does around each scenario."""


def before_scenario(context, scenario):
    context.fleet = None


def after_scenario(context, scenario):
    """Closes the scenario's fleet, with its logs if the scenario failed."""
    fleet = getattr(context, "fleet", None)
    if fleet is None:
        return
    fleet.failed = scenario.status.name in ("failed", "error")
    fleet.close()
    context.fleet = None
