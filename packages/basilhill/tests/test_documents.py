"""Tests of the document check and of splitting a document into sections."""

import time
import tomllib
from pathlib import Path

import pytest
from basilhill.documents import Section, Severity
from basilhill.queries.cross_checking import check_document
from basilhill.queries.documents import build_document, find_call, parse_section, split_sections
from hypothesis import given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).parents[3]

VALID_DOCUMENT = """\
[team.a]
contact = "a@example.test"

[team.a.service.front]
slots = 10
connections = 20

[team.a.service.front.call.list]
method = "GET"
path = "/list"
idempotent = true
timeout_ms = 1000

[team.a.service.front.call.buy]
method = "POST"
path = "/buy"
idempotent = false
timeout_ms = 1000
calls = ["back.take"]

[team.a.action.buying]
entry = "front.buy"
class = "transaction"
timeout_ms = 1000
retries = 3

[team.b.service.back]
slots = 10
connections = 20

[team.b.service.back.call.take]
method = "POST"
path = "/take"
idempotent = false
timeout_ms = 900
"""

THIRD_TEAM = """\
[team.c.service.front]
slots = 1
connections = 1
[team.c.action.buying]
entry = "back.take"
class = "browse"
timeout_ms = 10
"""

# For each broken document: the replacement in the valid one, and the line, key and text reported.
BROKEN = {
    "unknown key": ("slots = 10", "slots = 10\ncolour = 1", 6, "colour", "unknown key"),
    "unit in key": ("timeout_ms = 900", "timeout_s = 1", 35, "timeout_s", "write timeout_ms"),
    "unit in value": ("timeout_ms = 900", 'timeout_ms = "2s"', 35, "timeout_ms", "= 2000"),
    "wrong type": ("idempotent = true", 'idempotent = "no"', 11, "idempotent", "true or false"),
    "missing key": ('path = "/list"\n', "", 8, "path", "missing"),
    "unknown service": ("back.take", "bank.take", 19, "calls", "unknown service bank"),
    "unknown call": ("back.take", "back.tke", 19, "calls", "unknown call back.tke"),
    "cycle": ("timeout_ms = 900", 'timeout_ms = 900\ncalls = ["front.buy"]', 36, "calls", "cycle"),
    "idempotent caller": ("idempotent = false", "idempotent = true", 19, "calls", "non-idempotent"),
    "method": ('method = "POST"', 'method = "PUT"', 15, "method", "repeat PUT"),
    "two owners": ("[team.b.s", THIRD_TEAM + "[team.b.s", 27, "service.front", "owns the service"),
    "two actions": ("[team.b.s", THIRD_TEAM + "[team.b.s", 30, "action.buying", "owns the action"),
    "entry": ("front.buy", "front.by", 22, "entry", "unknown call front.by"),
    "class": ('"transaction"', '"urgent"', 23, "class", "browse, standard, transaction"),
    "no slots": ("slots = 10", "slots = 0", 5, "slots", "out of range"),
    "no time": ("timeout_ms = 900", "timeout_ms = 0", 35, "timeout_ms", "out of range"),
    "retries": ("retries = 3", "retries = 21", 25, "retries", "0 to 20"),
    "unclosed text": ('"a@example.test"', '"""a', 2, "", "Unterminated"),
    "unclosed list": ('["back.take"]', '["back.take"', 19, "", "Unclosed array"),
    "not of a team": ("[team.b.service.back]", "[service.back]", 27, "", "no team's section"),
    "array of tables": ("[team.b.service.back]", "[[team.b]]", 27, "", "no team's section"),
    "path": ('"/list"', '"/list/../buy"', 10, "path", "not a plain path"),
    "service name": ("service.back]", 'service."b/k"]', 27, "service.b/k", "not a name"),
}


@pytest.mark.parametrize("fault", BROKEN)
def test_broken_document_is_reported_with_its_line_key_and_correction(fault):
    old, new, line, key, text = BROKEN[fault]
    checked = check_document(VALID_DOCUMENT.replace(old, new, 1))
    assert checked.refused
    found = [p for p in checked.problems if p.line == line and p.key.endswith(key)]
    assert found, [str(problem) for problem in checked.problems]
    assert any(text in str(problem) for problem in found)


def test_calls_with_one_method_and_path_are_reported_as_ambiguous():
    two_calls = VALID_DOCUMENT.replace('method = "GET"', 'method = "POST"').replace(
        '"/list"', '"/buy"'
    )
    assert "same method and path" in str(check_document(two_calls).problems[0])


def test_all_problems_are_reported_together():
    text = VALID_DOCUMENT.replace("slots = 10", "slots = 0").replace('"GET"', '"FETCH"')
    lines = [problem.line for problem in check_document(text).problems]
    assert lines == [5, 9, 28]


def test_all_broken_statements_of_a_section_are_reported_with_their_text():
    text = VALID_DOCUMENT.replace('"a@example.test"', '"a').replace("slots = 10", "slots == 10")
    found = [(p.team, p.line, p.text) for p in check_document(text).problems]
    assert [place[:2] for place in found] == [("a", 2), ("a", 5), ("b", 28)]
    assert "'contact = \"a'" in found[0][2]
    assert "'slots == 10'" in found[1][2]


def test_second_owner_of_a_service_is_the_only_problem_reported():
    """Guard against problems reported in valid sections, which hide the one to fix."""
    text = VALID_DOCUMENT + "[team.c.service.back]\nslots = 1\nconnections = 1\n"
    assert [(p.team, p.line) for p in check_document(text).problems] == [("c", 36)]


def test_section_from_a_peer_is_reported_without_a_misleading_line():
    section = Section("b", 1, "[team.b.service.back]\nslots = 0\nconnections = 1\n")
    assert [problem.line for problem in parse_section(section).error] == [0]


def test_references_are_checked_while_another_section_is_refused():
    text = VALID_DOCUMENT.replace("timeout_ms = 900", "timeout_ms = 0")
    assert len(check_document(text).problems) == 1
    assert len(check_document(text.replace("back.take", "back.tke")).problems) == 2


def test_cycle_check_takes_linear_time():
    """Guard against a few sections that block the check, and so the readers, for hours."""
    layer = "[team.t{n}.service.s{n}]\nslots = 1\nconnections = 1\n" + "".join(
        f"[team.t{{n}}.service.s{{n}}.call.{name}]\nmethod = 'GET'\npath = '/{name}'\n"
        "idempotent = true\ntimeout_ms = 1\nusual_ms = 0\ncalls = {calls}\n"
        for name in "ab"
    )
    texts = [layer.format(n=n, calls=f'["s{n + 1}.a", "s{n + 1}.b"]') for n in range(60)]
    valid_text = "".join(texts) + layer.format(n=60, calls="[]")
    started = time.monotonic()
    assert check_document(valid_text).problems == ()
    looped = check_document(valid_text.replace("calls = []", 'calls = ["s0.a"]'))
    assert {p.text.split(":")[0] for p in looped.problems} == {"the calls form a cycle"}
    assert time.monotonic() - started < 5


def test_longer_timeout_of_an_internal_call_is_a_warning():
    checked = check_document(VALID_DOCUMENT.replace("timeout_ms = 900", "timeout_ms = 2000"))
    assert [problem.severity for problem in checked.problems] == [Severity.WARNING]
    assert not checked.refused


@pytest.mark.parametrize("name", ["degustari", "webshop"])
def test_examples_have_no_problems(name):
    assert check_document((ROOT / f"examples/{name}.toml").read_text()).problems == ()


def test_unclosed_string_of_one_team_does_not_invalidate_other_sections():
    sections = split_sections(VALID_DOCUMENT.replace('"a@example.test"', '"""a'), 1)
    states = {section.team: parse_section(section).is_ok() for section in sections}
    assert states == {"a": False, "b": True}


def test_edit_of_one_team_changes_no_other_section():
    before = {s.team: s for s in split_sections(VALID_DOCUMENT, 1)}
    after = {
        s.team: s for s in split_sections("# note\n\n" + VALID_DOCUMENT.replace("10", "11", 1), 1)
    }
    assert before["b"] == after["b"]
    assert before["a"] != after["a"]


def test_head_and_query_strings_use_the_policy_of_their_path():
    document = build_document(parse_section(s).ok for s in split_sections(VALID_DOCUMENT, 1))
    assert find_call(document, "front", "HEAD", "/list?page=2").name == "list"
    assert find_call(document, "front", "GET", "/list/5?x=/buy").name == "list"
    assert find_call(document, "front", "GET", "/listing") is None


@pytest.mark.parametrize(
    "line", ['x = ["a"' + " " * 100_000, "x = " + '\\"' * 50_000, '["' * 50_000]
)
def test_long_lines_are_split_in_linear_time(line):
    started = time.monotonic()
    split_sections(f"[team.a]\n{line}\n", 1)
    # Quadratic scanning of 100 kB takes minutes.
    assert time.monotonic() - started < 2


FORMS = (
    '[team."{team}"]\ncontact = "x # no"',
    "[ team . '{team}' ] # [team.other]\ncontact = '''\n [a]\n# b\n'''",
    '[team."{team}"]\ncontact = """\\""" [team.z]"""\n',
    '[team."{team}".service.s]\nslots = 1 # """\nlists = [\n  ["a]"],\n  [{{b = "["}}],\n]',
    '[team]\n"{team}".contact = "x"',
    "[team]\n'{team}' = {{ contact = \"x\", service = {{ s = {{ slots = 1 }} }} }}",
)
NAMES = st.text(st.sampled_from("ab.# -"), min_size=1, max_size=4)


@settings(max_examples=150, deadline=None)
@given(st.dictionaries(NAMES, st.sampled_from(FORMS), min_size=1, max_size=5))
def test_split_sections_have_the_same_content_as_the_document(forms):
    # TOML allows the [team] table only once, so the forms with it share a single header.
    inner = [f.format(team=t).removeprefix("[team]\n") for t, f in forms.items() if f[5] == "]"]
    outer = [f.format(team=t) for t, f in forms.items() if f[5] != "]"]
    text = "\n\n".join((["[team]"] if inner else []) + inner + outer)
    whole = tomllib.loads(text)["team"]
    parts = {s.team: tomllib.loads(s.text)["team"][s.team] for s in split_sections(text, 1)}
    assert parts == whole


@settings(max_examples=150, deadline=None)
@given(st.text(st.sampled_from("[]{}\"'#=.\\\n ateam1"), max_size=60))
def test_any_text_is_checked_without_an_exception_or_a_silent_loss(text):
    checked = check_document(text)
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return
    if set(whole) - {"team"}:
        assert checked.refused
