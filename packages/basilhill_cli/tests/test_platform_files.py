"""Tests of the check of configurations in the format of the platform, before they are sent."""

import json
from pathlib import Path

import pytest
from basilhill_cli import main
from basilhill_fakes.sidecar_fleet import build_configuration, build_route, build_tenant

READS = build_route("r-read", "/read/", "calendar")
KEY, SECOND_KEY = "k3y0001", "k3y0002"
SHOP = build_tenant("shop", KEY, ratePerS=10, burst=10)


def write(path: Path, version: int, *routes: dict, tenants=(SHOP,), **changes) -> Path:
    configuration = build_configuration(version, *(routes or (READS,)), tenants=tenants) | changes
    path.write_text(json.dumps(configuration))
    return path


def check(capsys, *arguments, **options) -> tuple[int, dict]:
    """Return the exit status and the output of `basilhill check --platform --json`."""
    status = main.check(*arguments, platform=True, as_json=True, **options)
    return status, json.loads(capsys.readouterr().out)


def test_sound_configuration_has_no_findings(tmp_path, capsys):
    status, found = check(capsys, write(tmp_path / "new.json", 2))
    assert (status, found["accepted"], found["problems"]) == (0, True, [])
    assert main.check(tmp_path / "new.json", platform=True) == 0
    assert "accepted" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("routes", "tenants", "text"),
    [
        ([READS, READS | {"name": "other"}], [SHOP], "route other: never matches"),
        ([READS | {"prefix": "read/"}], [SHOP], "route r-read: never matches"),
        ([READS | {"timeoutS": 0.1}], [SHOP], "route r-read: the timeout of 100 ms"),
        ([READS | {"public": True}], [SHOP], "workspaces: no route asks for a key"),
        ([READS], [SHOP, build_tenant("none")], "workspace none: has no key"),
        ([READS], [SHOP | {"burst": 0.5}], "workspace shop: its burst of 0.5 is below"),
    ],
)
def test_entries_without_effect_and_contradictions_are_warnings(
    tmp_path, capsys, routes, tenants, text
):
    status, found = check(capsys, write(tmp_path / "new.json", 2, *routes, tenants=tenants))
    assert status == 0
    assert any(f"{one['entry']}: {one['text']}".startswith(text) for one in found["problems"])


@pytest.mark.parametrize(
    ("routes", "tenants", "text"),
    [
        ([READS | {"kind": "stream"}], [SHOP], "kind is 'stream', expected one of"),
        ([READS | {"attempts": 0}], [SHOP], "no server is tried"),
        ([READS | {"trafficSplit": [{"service": "a", "weight": 0}]}], [SHOP], "add up to nothing"),
        ([READS], [SHOP, SHOP], "two tenants have the name 'shop'"),
        ([READS], [SHOP, build_tenant("b", KEY)], "'b' and 'shop' have the same key"),
        ([READS], [SHOP | {"ratePerS": -1}], "ratePerS is -1"),
    ],
)
def test_configuration_that_nodes_refuse_is_an_error(tmp_path, capsys, routes, tenants, text):
    status, found = check(capsys, write(tmp_path / "new.json", 2, *routes, tenants=tenants))
    assert (status, found["accepted"]) == (1, False)
    texts = " ".join(problem["text"] for problem in found["problems"])
    assert text in texts and KEY not in texts


def test_changes_to_the_version_in_force_name_no_key(tmp_path, capsys):
    old = write(tmp_path / "old.json", 1, READS, build_route("r-gone", "/gone/", "calendar"))
    tenants = [build_tenant("cafe", SECOND_KEY), SHOP | {"ratePerS": 5, "apiKeys": []}]
    new = write(tmp_path / "new.json", 2, READS | {"timeoutS": 3}, tenants=tenants)
    status, found = check(capsys, new, in_force=old)
    changed = {(one["entry"], one["key"]): (one["old"], one["new"]) for one in found["changes"]}
    assert status == 0
    assert changed["route shop.example/read/", "timeout_ms"] == ("2000", "3000")
    assert changed["route shop.example/gone/", ""][1] == ""
    assert changed["workspace shop", "per_s"] == ("10", "5")
    assert changed["workspace shop", "keys"] == ("1 keys", "")
    assert changed["workspace cafe", "keys"] == ("", "1 keys")
    assert KEY not in str(found) and SECOND_KEY not in str(found)
    assert main.diff(old, new, platform=True) == 0
    assert main.diff(new, old, platform=True) == 1
    assert "not above" in capsys.readouterr().out


@pytest.mark.parametrize("size", [100, 0])
def test_file_that_is_cut_short_gets_a_clear_message(tmp_path, capsys, size):
    file = write(tmp_path / "new.json", 2)
    file.write_bytes(file.read_bytes()[:size])
    status, found = check(capsys, file)
    assert status == 1 and "cannot be read" in found["problems"][0]["text"]


def test_file_that_the_store_does_not_take_gets_a_clear_message(tmp_path, capsys):
    status, found = check(capsys, write(tmp_path / "new.json", 2, padding="x" * (5 << 20)))
    assert status == 1 and "the store takes 1,048,576 at most" in found["problems"][0]["text"]


def test_missing_and_unreadable_versions_in_force_are_failures(tmp_path, capsys):
    new = write(tmp_path / "new.json", 2)
    (tmp_path / "broken.json").write_text("{")
    assert main.check(tmp_path / "none.json", platform=True) == 2
    assert main.check(new, platform=True, in_force=tmp_path / "broken.json") == 2
    assert main.check(new, in_force=new) == 2
    assert "Traceback" not in capsys.readouterr().err
