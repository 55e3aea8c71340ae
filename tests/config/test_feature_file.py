"""The feature file: errors are one line, and the stored schema matches the types."""

from pathlib import Path

import orjson
import pytest

from plankroute.config.feature_file import (
    SCHEMA_PATH,
    FeatureFileError,
    read_feature_file,
    schema_text,
)

EXAMPLE = Path("deploy/plankroute.example.json")
MEMBERSHIP = {"group": "g", "listen": "10.0.0.4:3001"}


def test_the_stored_schema_matches_the_types() -> None:
    assert SCHEMA_PATH.read_bytes() == schema_text(), (
        "python -m plankroute check --schema > deploy/plankroute.schema.json"
    )


def test_the_example_file_is_valid() -> None:
    feature_file = read_feature_file(EXAMPLE)
    assert feature_file.membership
    assert feature_file.membership.patience_ms == 2600
    assert len(feature_file.membership.seeds) == 3


@pytest.mark.parametrize(
    ("content", "line"),
    [
        ({"membership": {"listen": "10.0.0.4:1"}}, "membership.group: missing"),
        ({"membership": MEMBERSHIP | {"colour": 1}}, "membership.colour: unknown key"),
        ({"colour": 1}, "colour: unknown key"),
        (
            {"membership": MEMBERSHIP | {"patience_ms": 1}},
            "membership.patience_ms: expected `int` >= 500",
        ),
        (
            {"membership": MEMBERSHIP | {"listen": "10.0.0.4:70000"}},
            "membership.listen: '10.0.0.4:70000' is not a host:port address",
        ),
        (
            {"membership": MEMBERSHIP | {"seeds": ["a.example:1"]}},
            "membership.seeds[0]: expected `str` matching",
        ),
        (
            {"coldstart": {"links": {"listen": "10.0.0.4:1"}}},
            "coldstart.links: needs a membership section",
        ),
        ([], "the file: expected `object`, got `array`"),
    ],
)
def test_a_validation_error_is_one_line_with_the_path_of_the_field(
    tmp_path: Path, content: object, line: str
) -> None:
    path = tmp_path / "features.json"
    path.write_bytes(orjson.dumps(content))
    with pytest.raises(FeatureFileError) as caught:
        read_feature_file(path)
    assert str(caught.value).startswith(f"{path}: {line}")
    assert "\n" not in str(caught.value)
