"""The administration API as an OpenAPI 3.1 document; a test compares it with the routes."""

from typing import Any, NamedTuple

from reelusher.config.operator.workers import ACTIVATIONS

NON_NEGATIVE_NUMBER: dict[str, Any] = {"type": "number", "minimum": 0}
NON_NEGATIVE_INTEGER: dict[str, Any] = {"type": "integer", "minimum": 0}
STRING: dict[str, Any] = {"type": "string"}
FRACTION: dict[str, Any] = {"type": "number", "minimum": 0, "maximum": 1}
DRY_RUN = {
    "name": "dry_run",
    "in": "query",
    "schema": {"type": "boolean"},
    "description": "say what would change, and change nothing",
}
LIMIT = {"name": "limit", "in": "query", "schema": {"type": "integer", "minimum": 1, "maximum": 1000}}
IF_MATCH = {
    "name": "If-Match",
    "in": "header",
    "schema": STRING,
    "description": "the version that this rests on",
}
COPIES = {
    "name": "copies",
    "in": "query",
    "schema": NON_NEGATIVE_INTEGER,
    "description": "with [replication]: answer once so many other members have the change",
}
NAME = {"name": "name", "in": "path", "required": True, "schema": STRING}


def _object(required: tuple[str, ...] = (), **properties: Any) -> dict[str, Any]:
    return {"type": "object", "properties": properties, **({"required": list(required)} if required else {})}


def _closed_object(required: tuple[str, ...] = (), **properties: Any) -> dict[str, Any]:
    return {**_object(required, **properties), "additionalProperties": False}


SCHEMAS: dict[str, Any] = {
    "Share": _closed_object(
        weight={"type": "number", "exclusiveMinimum": 0},
        guarantee=FRACTION,
        ceiling=FRACTION,
        burst_ms=NON_NEGATIVE_INTEGER,
        held=NON_NEGATIVE_INTEGER,
        running=NON_NEGATIVE_INTEGER,
        memory_kb=NON_NEGATIVE_NUMBER,
        keys=NON_NEGATIVE_INTEGER,
        connections=NON_NEGATIVE_INTEGER,
        classes={"type": "object", "additionalProperties": {"type": "number", "exclusiveMinimum": 0}},
    ),
    "Route": _closed_object(("class",), method=STRING, path=STRING, **{"class": STRING}),
    "Tenant": _closed_object(
        ("name", "backend"),
        name={**STRING, "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        backend=STRING,
        hosts={"type": "array", "items": STRING},
        prefix=STRING,
        key_header=STRING,
        default_class=STRING,
        max_open=NON_NEGATIVE_INTEGER,
        held_kb=NON_NEGATIVE_NUMBER,
        share={"$ref": "#/components/schemas/Share"},
        routes={"type": "array", "items": {"$ref": "#/components/schemas/Route"}},
        state={"enum": ["active", "suspended", "draining"], "readOnly": True},
    ),
    "Error": _object(("error",), error=STRING, field=STRING),
}

# error responses of the calls that change tenants, with [replication]
REPLICATION_ERRORS = {
    503: "who makes changes of this name is away, nothing was changed",
    504: "it may have been made, or it was and too few others have it yet: the text says which",
}


class Operation(NamedTuple):
    """One operation of the document."""

    method: str
    path: str
    summary: str
    parameters: list[dict[str, Any]]
    body: str | dict[str, Any] | None  # name of a schema in `SCHEMAS`, a schema, or None without a body
    responses: dict[int, str]  # descriptions by status; 401 and 403 are added to every operation


OPERATIONS: list[Operation] = [
    Operation(
        "GET",
        "/v1/tenants",
        "List tenants by name.",
        [LIMIT, {"name": "after", "in": "query", "schema": STRING}],
        None,
        {200: "a page of tenants"},
    ),
    Operation(
        "POST",
        "/v1/tenants",
        "Add a tenant.",
        [
            DRY_RUN,
            COPIES,
            {"name": "Idempotency-Key", "in": "header", "schema": {**STRING, "maxLength": 128}},
        ],
        "Tenant",
        {
            201: "the tenant",
            200: "what would change",
            400: "a field is wrong",
            409: "the name is taken",
            422: "the key was used for another",
            507: "not made durable, not made",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "GET", "/v1/tenants/{name}", "Show a tenant.", [], None, {200: "the tenant", 404: "there is none"}
    ),
    Operation(
        "PUT",
        "/v1/tenants/{name}",
        "Replace a tenant as a whole.",
        [DRY_RUN, IF_MATCH, COPIES],
        "Tenant",
        {
            200: "the tenant",
            400: "a field is wrong",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            507: "not made durable, not made",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "PATCH",
        "/v1/tenants/{name}",
        "Change a tenant by a merge patch (RFC 7396).",
        [DRY_RUN, IF_MATCH, COPIES],
        {"type": "object"},
        {
            200: "the tenant",
            400: "a field is wrong",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            507: "not made durable, not made",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "DELETE",
        "/v1/tenants/{name}",
        "Remove a tenant once it has nothing in hand.",
        [
            DRY_RUN,
            IF_MATCH,
            COPIES,
            {"name": "within_ms", "in": "query", "schema": {**NON_NEGATIVE_INTEGER, "maximum": 3_600_000}},
        ],
        None,
        {
            204: "it is gone",
            202: "it is being removed",
            200: "what would change",
            404: "there is none",
            412: "it has another version",
            507: "not made durable, not made",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "POST",
        "/v1/tenants/{name}/suspend",
        "Refuse a tenant's new requests.",
        [DRY_RUN, IF_MATCH, COPIES],
        None,
        {
            200: "the tenant",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "POST",
        "/v1/tenants/{name}/resume",
        "Take a tenant's requests again.",
        [DRY_RUN, IF_MATCH, COPIES],
        None,
        {
            200: "the tenant",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            **REPLICATION_ERRORS,
        },
    ),
    Operation(
        "GET",
        "/v1/tenants/{name}/usage",
        "Tell how a tenant stands.",
        [],
        None,
        {200: "work in core-milliseconds, counts, parts of the node", 404: "there is none"},
    ),
    Operation(
        "GET",
        "/v1/audit",
        "List changes, oldest first.",
        [LIMIT, {"name": "after", "in": "query", "schema": NON_NEGATIVE_INTEGER}],
        None,
        {200: "a page of changes"},
    ),
    Operation("GET", "/v1/workers", "List workers.", [], None, {200: "all workers"}),
    Operation(
        "GET", "/v1/workers/{name}", "Show a worker.", [], None, {200: "the worker", 404: "there is none"}
    ),
    Operation(
        "PUT",
        "/v1/workers/{name}",
        "Change whether a worker gets requests.",
        [],
        _object(("activation",), activation={"enum": list(ACTIVATIONS)}),
        {200: "the worker", 400: "no such activation", 404: "there is none"},
    ),
    Operation(
        "GET",
        "/v1/status",
        "Tell how the node stands.",
        [],
        None,
        {200: "health, what is in hand, decisions"},
    ),
    Operation(
        "GET",
        "/v1/fleet",
        "List the members of the fleet.",
        [],
        None,
        {200: "this node, its health, and all members that it knows", 404: "this node is in no fleet"},
    ),
    Operation(
        "POST",
        "/v1/fleet/forget/{name}",
        "Have the fleet forget dead members of a name.",
        [],
        None,
        {202: "they count as left", 404: "none is known", 409: "one lives"},
    ),
    Operation(
        "GET",
        "/v1/fleet/changes",
        "Tell how far the members have the changes of the replicated table.",
        [
            {
                "name": "after",
                "in": "query",
                "schema": NON_NEGATIVE_INTEGER,
                "description": "of orphans, for the next of them",
            }
        ],
        None,
        {200: "streams, positions, who is behind", 404: "this node has no [replication]"},
    ),
    Operation(
        "POST",
        "/v1/fleet/take-over/{name}",
        "Have this control member write a stream from now on.",
        [
            DRY_RUN,
            {
                "name": "force",
                "in": "query",
                "schema": {"type": "boolean"},
                "description": "also where others have changes that are not here: they are lost",
            },
        ],
        None,
        {
            200: "where the stream stands, and what is lost",
            404: "there is no such stream",
            409: "this member can't, or need not: the text says who can",
            503: "others have what it lacks",
            507: "not made durable, not made",
        },
    ),
    Operation("GET", "/v1/counters", "Return all counters.", [], None, {200: "counts by name"}),
    Operation("GET", "/v1/openapi.json", "Return this document.", [], None, {200: "an OpenAPI document"}),
    Operation(
        "POST", "/v1/drain", "Have the node leave.", [], None, {202: "it leaves", 409: "it does already"}
    ),
]


def document() -> dict[str, Any]:
    """Return the OpenAPI document."""
    paths: dict[str, Any] = {}
    for operation in OPERATIONS:
        paths.setdefault(operation.path, {})[operation.method.lower()] = _operation_json(operation)
    return {
        "openapi": "3.1.0",
        "info": {"title": "reelusher administration", "version": "1"},
        "security": [{"bearer": []}],
        "paths": paths,
        "components": {
            "schemas": SCHEMAS,
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
    }


def _operation_json(operation: Operation) -> dict[str, Any]:
    method, path = operation.method, operation.path
    return {
        "summary": operation.summary,
        "operationId": f"{method.lower()} {path}",
        "parameters": [*([NAME] if "{name}" in path else []), *operation.parameters],
        **({"requestBody": _request_body(operation)} if operation.body else {}),
        "responses": {
            **{str(status): _response(status, text) for status, text in operation.responses.items()},
            "401": _response(401, "no valid token"),
            "403": _response(403, "the token is another tenant's"),
        },
    }


def _request_body(operation: Operation) -> dict[str, Any]:
    body = operation.body
    schema = {"$ref": f"#/components/schemas/{body}"} if isinstance(body, str) else body
    media_type = "application/merge-patch+json" if operation.method == "PATCH" else "application/json"
    return {"required": True, "content": {media_type: {"schema": schema}}}


def _response(status: int, description: str) -> dict[str, Any]:
    if status < 400:
        return {"description": description}
    content = {"application/json": {"schema": {"$ref": "#/components/schemas/Error"}}}
    return {"description": description, "content": content}
