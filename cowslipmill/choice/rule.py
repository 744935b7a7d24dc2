"""Load balancing policies that an entry can use."""

from enum import Enum


class Rule(Enum):
    """How servers are chosen; all but the last serve for comparison."""

    ROUND_ROBIN = 'round_robin'
    RANDOM = 'random'
    LEAST_IN_FLIGHT = 'least_in_flight'
    TWO_CHOICES = 'two_choices'
    PREQUAL = 'prequal'
    ORACLE = 'oracle'
    COWSLIPMILL = 'cowslipmill'
