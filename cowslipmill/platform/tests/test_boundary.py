"""Names of the platform's protocol are used in its adapter only."""

from pathlib import Path
import re

from testtools.assertions import assert_that
from testtools.matchers import Equals

import cowslipmill

ROOT = Path(cowslipmill.__file__).parent
PLATFORM_NAMES = re.compile(
    r'TrafficSplit|TargetLatencyMs|TimeoutMs|WarmupLeftMs|MaxAttempts|'
    r'WarmupPerS|[Xx]-[Ww]armup-[Mm]s|'
    r'HealthPath|SeedLagS|GraceS|BudgetSlack|RetryBudgetRatio|CurrentRev|'
    r'AllowStale|[Xx]-[Ss]erver-[Ll]oad|[Xx]-[Dd]eadline-[Mm]s|'
    r'[Xx]-[Nn]ot-[Ee]xecuted|[Xx]-[Ee]xpect-[Ii]nstance|kv-range|'
    r'[Xx]-[Rr]esponse-[Ss]ignature|[Xx]-[Rr]equest-[Ii]d|'
    r'op/config|op/evacuate'
)


def test_only_the_adapter_uses_names_of_the_platform() -> None:
    found = []
    for path in ROOT.rglob('*.py'):
        parts = path.relative_to(ROOT).parts
        # Stand-ins and tests implement the platform's side of the protocol.
        if parts[0] in ('platform', 'standin') or 'tests' in parts:
            continue
        found += PLATFORM_NAMES.findall(path.read_text())
    assert_that(found, Equals([]))


def test_the_adapter_is_synchronous() -> None:
    # The adapter only translates; other packages do the I/O.
    adapter = ROOT / 'platform'
    for path in adapter.glob('*.py'):
        text = path.read_text()
        assert_that('async ' in text, Equals(False))
        assert_that('asyncio' in text, Equals(False))
