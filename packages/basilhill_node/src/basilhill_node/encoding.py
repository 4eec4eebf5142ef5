"""Conversion of records to protobuf messages and back."""

from collections.abc import Iterable

from basilhill.calls import COHORTS, CallContext, CallRequest, PriorityClass
from basilhill.documents import Section
from basilhill.fleet import Heartbeat, VmState
from basilhill.outcomes import (
    Answer,
    CallReply,
    ExecutionStatus,
    Header,
    Outcome,
    Reason,
    Refusal,
    ServiceLevel,
    received_outcome,
)
from basilhill.poison_requests import CrashReport
from basilhill.sections import DigestReport, SectionBatch, SectionVersion
from expression import Error

from basilhill_node.wire import peer_pb2 as wire

EXECUTION_STATUSES = (
    ExecutionStatus.ANSWERED,
    ExecutionStatus.NOT_RUN,
    ExecutionStatus.MAY_HAVE_RUN,
)
VM_STATES = (VmState.LIVE, VmState.LEAVING)


def encode_context(context: CallContext, now_ms: int) -> wire.Context:
    """Encode a context with the remaining time instead of the deadline."""
    return wire.Context(
        action_id=context.action_id,
        action=context.action,
        priority_class=context.priority_class,
        cohort=context.cohort,
        depth=context.depth,
        remaining_ms=context.deadline_ms - now_ms,
        retry_allotment=context.retry_allotment,
        customer=context.customer,
        sent_ms=now_ms,
    )


def decode_context(message: wire.Context, now_ms: int) -> CallContext:
    """Decode a context; the deadline is on this process's clock."""
    return CallContext(
        message.action_id,
        message.action,
        PriorityClass(message.priority_class),
        now_ms + message.remaining_ms,
        message.customer,
        message.depth,
        message.retry_allotment,
        cohort=message.cohort % COHORTS,
    )


def encode_request(request: CallRequest) -> wire.Request:
    return wire.Request(
        service=request.service,
        method=request.method,
        path=request.path,
        headers=encode_headers(request.headers),
        body=request.body,
    )


def decode_request(message: wire.Request) -> CallRequest:
    headers = decode_headers(message.headers)
    return CallRequest(message.service, message.method, message.path, headers, message.body)


def encode_headers(headers: tuple[Header, ...]) -> list[wire.Header]:
    return [wire.Header(name=header.name, value=header.value) for header in headers]


def decode_headers(messages) -> tuple[Header, ...]:
    return tuple(Header(message.name, message.value) for message in messages)


def encode_levels(levels: tuple[ServiceLevel, ...]) -> list[wire.Level]:
    return [wire.Level(service=level.service, level=level.level) for level in levels]


def decode_levels(messages) -> tuple[ServiceLevel, ...]:
    return tuple(ServiceLevel(message.service, message.level) for message in messages)


def encode_reply(call_id: int, reply: CallReply) -> wire.Reply:
    message = wire.Reply(
        call_id=call_id, retries_spent=reply.retries_spent, levels=encode_levels(reply.levels)
    )
    if reply.outcome.is_ok():
        answer = reply.outcome.ok
        message.status = answer.status
        message.headers.extend(encode_headers(answer.headers))
        message.body = answer.body
        return message
    refusal = reply.outcome.error
    message.verdict = EXECUTION_STATUSES.index(refusal.execution_status)
    message.reason = refusal.reason.value
    message.text = refusal.text
    message.retry_after_ms = refusal.retry_after_ms
    return message


def decode_reply(message: wire.Reply) -> CallReply:
    return CallReply(decode_outcome(message), message.retries_spent, decode_levels(message.levels))


def decode_outcome(message: wire.Reply) -> Outcome:
    """Return an outcome; nodes of older versions pass on responses with an invalid status."""
    execution_status = EXECUTION_STATUSES[message.verdict]
    if execution_status is ExecutionStatus.ANSWERED:
        answer = Answer(message.status, decode_headers(message.headers), message.body)
        return received_outcome(answer)
    reason = Reason(message.reason)
    return Error(Refusal(execution_status, reason, message.text, message.retry_after_ms))


def encode_heartbeat(heartbeat: Heartbeat) -> wire.Heartbeat:
    return wire.Heartbeat(
        state=VM_STATES.index(heartbeat.state),
        level=heartbeat.level,
        in_flight=heartbeat.in_flight,
        limit=heartbeat.limit,
        digest=heartbeat.digest,
        levels=encode_levels(heartbeat.levels),
    )


def decode_heartbeat(message: wire.Heartbeat) -> Heartbeat:
    state = VM_STATES[message.state]
    return Heartbeat(
        state,
        message.level,
        message.in_flight,
        message.limit,
        message.digest,
        decode_levels(message.levels),
    )


def encode_poison_reports(reports: Iterable[CrashReport]) -> wire.Suspects:
    """Encode reports of requests that may crash backend servers."""
    return wire.Suspects(
        suspects=[
            wire.Suspect(
                fingerprint=report.fingerprint,
                servers=sorted(report.crashes),
                cleared=report.cleared,
            )
            for report in reports
        ]
    )


def decode_poison_reports(message: wire.Suspects) -> tuple[CrashReport, ...]:
    """Decode reports of requests that may crash backend servers."""
    return tuple(
        CrashReport(suspect.fingerprint, frozenset(suspect.servers), suspect.cleared)
        for suspect in message.suspects
    )


def encode_batch(batch: SectionBatch) -> wire.Sections:
    sections = [encode_section(section) for section in batch.sections]
    fallbacks = [encode_section(section) for section in batch.fallbacks]
    return wire.Sections(sections=sections, fallbacks=fallbacks, root=batch.root)


def encode_section(section: Section) -> wire.Section:
    return wire.Section(
        team=section.team,
        revision=section.revision,
        text=section.text.encode(),
        claims=dict(section.claims),
    )


def decode_batch(message: wire.Sections) -> SectionBatch:
    sections = tuple(decode_section(section) for section in message.sections)
    fallbacks = tuple(decode_section(section) for section in message.fallbacks)
    return SectionBatch(sections, fallbacks, message.root)


def decode_section(message: wire.Section) -> Section:
    claims = tuple(sorted(message.claims.items()))
    return Section(message.team, message.revision, message.text.decode(), claims)


def encode_report(report: DigestReport) -> wire.SectionDigests:
    versions = [
        wire.SectionVersion(team=v.team, revision=v.revision, digest=v.digest)
        for v in report.versions
    ]
    return wire.SectionDigests(
        versions=versions,
        reply_wanted=report.reply_wanted,
        buckets=report.buckets,
        differing=report.differing,
    )


def decode_report(message: wire.SectionDigests) -> DigestReport:
    versions = tuple(SectionVersion(v.team, v.revision, v.digest) for v in message.versions)
    return DigestReport(
        tuple(message.buckets), versions, tuple(message.differing), message.reply_wanted
    )
