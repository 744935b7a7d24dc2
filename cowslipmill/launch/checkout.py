"""Sources of earlier builds, from the repository's history."""

from io import BytesIO
from pathlib import Path
from subprocess import CalledProcessError
from subprocess import run
from tarfile import open as open_tar
import tomllib

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'


class CheckoutError(Exception):
    """The sources of a commit can't be had; the text says why."""


def production_commit() -> str:
    """Returns the commit that the deploy file names as in production."""
    return str(tomllib.loads(DEPLOY_FILE.read_text())['production'])


def export_sources(commit: str, directory: Path) -> Path:
    """Writes the package of a commit into a directory, and returns it.

    Args:
        commit: The commit.
        directory: An empty directory.

    Raises:
        CheckoutError: If the repository's history lacks the commit.
    """
    command = ['git', 'archive', '--format=tar', commit, 'cowslipmill']
    try:
        archive = run(command, cwd=ROOT, check=True, capture_output=True)
    except CalledProcessError as error:
        reason = error.stderr.decode().strip()
        raise CheckoutError(f'{commit}: {reason}') from error
    with open_tar(fileobj=BytesIO(archive.stdout)) as tar:
        tar.extractall(directory, filter='data')
    return directory
