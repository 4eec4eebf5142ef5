"""Tests of section versions: no interleaving lowers a version or leaves nodes inconsistent."""

import pytest
from basilhill.commands.sections import merge_sections, record_complete_read
from basilhill.documents import LineOrigin, Section
from basilhill.queries.documents import split_sections
from basilhill.queries.sections import changed_sections, sections_to_send
from basilhill.sections import SectionTable
from hypothesis import given
from hypothesis import strategies as st

TEAMS = ("first", "second")
SERVICE = """[team.{team}.service.{service}]
slots = {slots}
connections = 10
"""
CALL = """[team.{team}.service.{service}.call.run]
method = "GET"
path = "/run"
idempotent = true
timeout_ms = 100
calls = {calls}
"""


def service(team, name, slots=1, calls=None):
    text = SERVICE.format(team=team, service=name, slots=slots)
    return text + (CALL.format(team=team, service=name, calls=calls) if calls is not None else "")


def section(team, revision, name, **options):
    return Section(team, revision, service(team, name, **options))


def active_sections(table):
    return {team: valid.section for team, valid in table.resolution.active.items()}


def read_document(table, revisions, number):
    sections = split_sections(revisions[number - 1], number)
    changed = changed_sections(table, sections, number)
    if number >= table.complete_revision:
        merge_sections(table, changed)
        record_complete_read(table, number)


def send_all(source, target):
    for team in tuple(source.teams):
        merge_sections(target, *sections_to_send(source, team))


# Slots of the section of each team by revision; 0 stands for no section, 9 for an invalid one.
DOCUMENTS = st.lists(st.tuples(*[st.sampled_from((0, 1, 2, 3, 9))] * 2), min_size=1, max_size=5)
STEPS = st.lists(
    st.tuples(st.sampled_from(("read", "send", "restart")), st.integers(0, 2), st.integers(0, 4)),
    max_size=25,
)


def document_text(row):
    texts = []
    for team, slots in zip(TEAMS, row, strict=True):
        if slots:
            texts.append(service(team, team, slots if slots != 9 else '"many"'))
    return "".join(texts) or service("other", "other")


@given(DOCUMENTS, STEPS)
def test_no_interleaving_lowers_a_version_and_all_nodes_converge(rows, steps):
    """Guard against stale reads, late pushes and restarts that restore an old section."""
    revisions = [document_text(row) for row in rows]
    nodes = [SectionTable() for _ in range(3)]
    for step, index, number in steps:
        before = {t: v.newest.revision for t, v in nodes[index].teams.items()}
        if step == "read":
            read_document(nodes[index], revisions, min(number + 1, len(revisions)))
        elif step == "send":
            send_all(nodes[number % 3], nodes[index])
        else:
            nodes[index], before = SectionTable(), {}
        stored = nodes[index].teams
        assert all(stored[team].newest.revision >= low for team, low in before.items())
    read_document(nodes[0], revisions, len(revisions))
    for _ in range(2):
        for source in nodes:
            for target in nodes:
                send_all(source, target)
    newest = [{t: v.newest.text for t, v in node.teams.items()} for node in nodes]
    last = {s.team: s.text for s in split_sections(revisions[-1], 1)}
    assert newest[0] == newest[1] == newest[2]
    assert {team: text for team, text in newest[0].items() if text} == last


@given(st.permutations(range(4)))
def test_every_order_of_arrival_gives_the_same_owner_of_a_service(order):
    """Guard against nodes with different owners of a service after a conflict."""
    sections = (
        section("first", 5, "shop"),
        section("second", 4, "other"),
        section("second", 7, "shop"),
        section("first", 9, "shop", slots=2),
    )
    table = SectionTable()
    for index in order:
        merge_sections(table, (sections[index],))
    # A node that applies revision 9 without 5 gets the claim of revision 5 from another node.
    informed = SectionTable()
    for each in sections:
        merge_sections(informed, (each,))
    send_all(informed, table)
    assert active_sections(table)["first"].revision == 9
    assert table.resolution.refused.keys() == {"second"}
    assert "belongs to team first" in str(table.resolution.refused["second"].problems[0])


def test_last_valid_section_stays_active_until_a_later_valid_one_replaces_it():
    """Guard against an invalid section that removes the services of its team."""
    table = SectionTable()
    merge_sections(table, (section("first", 1, "shop"),))
    merge_sections(table, (section("first", 2, "shop", slots='"many"'),))
    assert active_sections(table)["first"].revision == 1
    assert table.resolution.refused["first"].section.revision == 2
    merge_sections(table, (section("first", 3, "shop", slots=3),))
    assert active_sections(table)["first"].revision == 3
    assert table.resolution.refused == {}


def test_section_that_raises_in_the_parser_is_refused():
    """Guard against an exception that stops the reader of a data centre."""
    table = SectionTable()
    text = '[team.first.action.buy]\nentry = "a.b"\nclass = "gold"\ntimeout_ms = 1\n'
    merge_sections(table, (Section("first", 1, text),))
    assert table.resolution.refused.keys() == {"first"}
    merge_sections(table, (section("first", 2, "shop"),))
    assert active_sections(table)["first"].revision == 2


def test_section_that_removes_a_call_in_use_is_refused():
    """Guard against an edit of one team that breaks the service of another team."""
    table = SectionTable()
    merge_sections(table, (section("first", 1, "shop", calls=[]),))
    merge_sections(table, (section("second", 2, "cart", calls=["shop.run"]),))
    merge_sections(table, (Section("first", 3, ""),))
    assert active_sections(table)["first"].revision == 1
    assert "still calls shop.run" in str(table.resolution.refused["first"].problems[0])


RULES = """[team.{team}.service.{team}]
slots = 1
connections = 10
[team.{team}.service.{team}.call.run]
method = "POST"
path = "/run"
idempotent = {idempotent}
timeout_ms = 100
calls = {calls}
[team.{team}.action.{team}]
entry = "{entry}"
class = "browse"
timeout_ms = 100
"""


def rules(team, revision, idempotent="true", calls="[]", entry=None):
    values = {"idempotent": idempotent, "calls": calls, "entry": entry or f"{team}.run"}
    text = RULES.format(team=team, **values)
    return Section(team, revision, text, origins=(LineOrigin(1, 1),))


# By rule: the later section that violates it, the other section, and the start of the problem.
VIOLATIONS = {
    "idempotent caller": (
        rules("second", 3, calls='["third.run"]'),
        rules("third", 2, idempotent="false"),
        "line 9: team second: service.second.call.run.calls: the idempotent call second.run",
    ),
    "call made non-idempotent": (
        rules("third", 3, idempotent="false"),
        rules("second", 2, calls='["third.run"]'),
        "line 7: team third: service.third.call.run.idempotent: the idempotent call second.run",
    ),
    "cycle": (
        rules("second", 3, calls='["third.run"]'),
        rules("third", 2, calls='["second.run"]'),
        "line 9: team second: service.second.call.run.calls: the calls form a cycle: ",
    ),
    "entry of another action": (
        rules("second", 3, entry="third.run"),
        rules("third", 2),
        "line 11: team second: action.second.entry: the actions ",
    ),
}


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_section_that_violates_a_rule_with_another_team_is_refused_until_fixed(rule):
    """Guard against nodes that activate sections that the document check refuses."""
    breaking, other, text = VIOLATIONS[rule]
    table = SectionTable()
    merge_sections(table, (rules("second", 1), rules("third", 1)))
    merge_sections(table, (other,))
    before = active_sections(table)
    assert table.resolution.refused == {}
    merge_sections(table, (breaking,))
    assert active_sections(table) == before
    assert str(table.resolution.refused[breaking.team].problems[0]).startswith(text)
    fixed = rules(breaking.team, 4)
    merge_sections(table, (fixed,))
    assert active_sections(table) == before | {fixed.team: fixed}
    assert table.resolution.refused == {}


@given(st.permutations(range(4)))
def test_every_order_of_arrival_refuses_the_same_section_of_a_cycle(order):
    """Guard against nodes with different active sections after a cycle was published."""
    sections = (
        rules("second", 1),
        rules("third", 1),
        rules("second", 2, calls='["third.run"]'),
        rules("third", 3, calls='["second.run"]'),
    )
    table, informed = SectionTable(), SectionTable()
    for index in order:
        merge_sections(table, (sections[index],))
    for each in sections:
        merge_sections(informed, (each,))
    send_all(informed, table)
    assert active_sections(table) == active_sections(informed)
    assert {team: s.revision for team, s in active_sections(table).items()} == {
        "second": 2,
        "third": 1,
    }
    assert table.resolution.refused.keys() == {"third"}


def test_text_read_again_replaces_an_intermediate_change_from_a_peer():
    """Guard against a silent revert when a reader missed a change that was undone later."""
    revisions = [service("first", "shop", slots) for slots in (1, 2, 1)]
    reader, behind = SectionTable(), SectionTable()
    read_document(reader, revisions, 1)
    read_document(reader, revisions, 3)
    read_document(behind, revisions, 2)
    send_all(behind, reader)
    send_all(reader, behind)
    assert (
        active_sections(behind)["first"].text
        == active_sections(reader)["first"].text
        == revisions[0]
    )
    assert active_sections(behind)["first"].revision == 3
