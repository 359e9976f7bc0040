"""Writes the JSON Schemas of service files and settings to schema/."""

from __future__ import annotations

import json
import pathlib
import typing

import pydantic

from fuchsiacourse import service_file
from fuchsiacourse import settings

SCHEMA_DIRECTORY = pathlib.Path(__file__).parent.parent / "schema"


def settings_models() -> dict[str, type[pydantic.BaseModel]]:
    """Returns the settings models by the value of their field program."""
    models = {}
    for value in vars(settings).values():
        if not isinstance(value, type):
            continue
        if not issubclass(value, pydantic.BaseModel):
            continue
        field = value.model_fields.get("program")
        if field is not None:
            (program,) = typing.get_args(field.annotation)
            models[program] = value
    return models


def schemas() -> dict[str, str]:
    """Returns the text of each schema by file name."""
    models = {"service-file": service_file.ServiceFile} | {
        f"settings-{program}": model
        for program, model in settings_models().items()
    }
    return {
        f"{name}.json": json.dumps(model.model_json_schema(), indent=2) + "\n"
        for name, model in sorted(models.items())
    }


def main() -> None:
    """Writes the schemas and deletes the files of removed models."""
    SCHEMA_DIRECTORY.mkdir(exist_ok=True)
    wanted = schemas()
    for path in SCHEMA_DIRECTORY.glob("*.json"):
        if path.name not in wanted:
            path.unlink()
    for name, text in wanted.items():
        (SCHEMA_DIRECTORY / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
