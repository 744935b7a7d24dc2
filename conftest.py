"""Shared fixtures and the Hypothesis profile of the whole suite."""

from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    'cowslipmill',
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('cowslipmill')
