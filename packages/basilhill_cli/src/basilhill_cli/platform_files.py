"""Check and comparison of configurations in the format of the platform."""

from pathlib import Path

from attrs import frozen
from basilhill.configuration import Configuration
from basilhill.documents import Severity
from basilhill.queries.configuration_checks import Finding, configuration_findings
from basilhill.queries.configuration_differences import ValueChange, configuration_differences
from basilhill_node.platform.configuration import decode_configuration
from expression import Error, Ok, Result

# The platform's store takes no larger value.
MAX_BYTES = 1 << 20


@frozen
class CheckedConfiguration:
    """Findings about a configuration, and what it changes in the version in force."""

    findings: list[Finding]
    changes: list[ValueChange]

    @property
    def refused(self) -> bool:
        """Return whether a finding is an error."""
        return any(finding.severity is Severity.ERROR for finding in self.findings)


def read_bytes(file: Path) -> Result[bytes, str]:
    """Return the content of a file, or an error text if it cannot be read."""
    try:
        return Ok(file.read_bytes())
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")


def decode_file(data: bytes) -> Result[Configuration, str]:
    """Return the configuration in the content of a file, or why nodes would refuse it."""
    if len(data) > MAX_BYTES:
        return Error(f"it has {len(data):,} bytes; the store takes {MAX_BYTES:,} at most")
    return decode_configuration(data)


def check_configuration(data: bytes, in_force: Configuration | None = None) -> CheckedConfiguration:
    """Return the findings about a file, compared with the version in force if it is given."""
    decoded = decode_file(data)
    if decoded.is_error():
        return CheckedConfiguration([Finding("file", decoded.error, Severity.ERROR)], [])
    findings = configuration_findings(decoded.ok)
    if in_force is None:
        return CheckedConfiguration(findings, [])
    if decoded.ok.version <= in_force.version:
        text = f"{decoded.ok.version:08x} is not above {in_force.version:08x}, which is in force"
        findings.insert(0, Finding("version", text, Severity.ERROR))
    return CheckedConfiguration(findings, configuration_differences(in_force, decoded.ok))
