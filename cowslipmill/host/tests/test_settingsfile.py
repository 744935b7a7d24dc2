"""Tests that changes of the settings file are detected."""

from os import utime
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.settingsfile import SettingsFile


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """Returns the path of a settings file with an old modification time."""
    path = tmp_path / 'settings'
    path.write_text('a=1')
    utime(path, (1, 1))
    return path


def test_an_untouched_file_is_unchanged(path: Path) -> None:
    assert_that(SettingsFile(path).detect_change(), Equals(False))


def test_a_write_is_reported_once(path: Path) -> None:
    file = SettingsFile(path)
    path.write_text('a=2')
    assert_that(file.detect_change(), Equals(True))
    assert_that(file.detect_change(), Equals(False))


def test_a_replaced_file_is_changed(path: Path) -> None:
    file = SettingsFile(path)
    other = path.with_name('other')
    other.write_text('a=3')
    utime(other, (1, 1))
    other.rename(path)
    assert_that(file.detect_change(), Equals(True))


def test_a_missing_file_is_changed_only_once_it_is_back(path: Path) -> None:
    file = SettingsFile(path)
    path.unlink()
    assert_that(file.detect_change(), Equals(False))
    path.write_text('a=4')
    assert_that(file.detect_change(), Equals(True))
