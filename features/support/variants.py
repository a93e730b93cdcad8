"""Schedulers to compare: the baseline, the policy, and it without a part."""

from gypsumfold.decisions import admission
from gypsumfold.decisions import fairness
from gypsumfold.decisions import limits
from gypsumfold.decisions import loads
from gypsumfold.decisions import outliers
from gypsumfold.decisions import placement
from gypsumfold.decisions import policy_scheduler
from gypsumfold.decisions import scheduler

POLICY = policy_scheduler.Policy("north-apron")


def baseline(rng):
    return scheduler.RoundRobin()


def policy(rng):
    return policy_scheduler.PolicyScheduler(POLICY, rng)


def plainer(part):
    """The plainer rule that stands beside a part."""
    if part == "loads":
        return {
            "loads": loads.ReportedLoads(),
            "placement": placement.LeastLoaded(),
        }
    rules = {
        "fairness": ("queue", fairness.FIFOQueue),
        "admission": ("admission", admission.AdmitAll),
        "placement": ("placement", placement.RoundRobin),
        "limits": ("limits", limits.NoLimits),
        "outliers": ("outliers", outliers.NoOutliers),
    }
    name, rule = rules[part]
    return {name: rule()}


def without(part):
    """Makes the policy with one part replaced by its plainer rule."""

    def make(rng):
        parts = policy_scheduler.default_components(POLICY, rng)._replace(
            **plainer(part)
        )
        return policy_scheduler.PolicyScheduler(POLICY, rng, parts)

    return make
