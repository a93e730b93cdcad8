"""Schedulers to compare: the baseline, the policy, and it without a part."""

from gypsumfold.decisions import admission
from gypsumfold.decisions import fairness
from gypsumfold.decisions import limits
from gypsumfold.decisions import loads
from gypsumfold.decisions import outliers
from gypsumfold.decisions import placement
from gypsumfold.decisions import scheduler
from gypsumfold.decisions import scheduling

POLICY = scheduling.Policy("north-apron")


def baseline(rng):
    return scheduler.RoundRobin()


def policy(rng):
    return scheduling.PolicyScheduler(POLICY, rng)


def plainer(part):
    """The plainer rule that stands beside a part."""
    if part == "loads":
        return {
            "loads": loads.ReportedLoads(),
            "placement": placement.LeastReported(),
        }
    rules = {
        "fairness": ("queue", fairness.FIFOQueue),
        "admission": ("admission", admission.EveryoneWaits),
        "placement": ("placement", placement.InTurn),
        "limits": ("limits", limits.NoLimits),
        "outliers": ("outliers", outliers.NoOutliers),
    }
    name, rule = rules[part]
    return {name: rule()}


def without(part):
    """Makes the policy with one part replaced by its plainer rule."""

    def make(rng):
        parts = scheduling.parts(POLICY, rng)._replace(**plainer(part))
        return scheduling.PolicyScheduler(POLICY, rng, parts)

    return make
