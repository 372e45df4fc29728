"""The administration API as an OpenAPI 3.1 document; a test holds it against the routes."""

from typing import Any

from reelusher.config.operator import ACTIVATIONS

NUMBER: dict[str, Any] = {"type": "number", "minimum": 0}
WHOLE: dict[str, Any] = {"type": "integer", "minimum": 0}
TEXT: dict[str, Any] = {"type": "string"}
PART: dict[str, Any] = {"type": "number", "minimum": 0, "maximum": 1}
DRY = {
    "name": "dry_run",
    "in": "query",
    "schema": {"type": "boolean"},
    "description": "say what would change, and change nothing",
}
LIMIT = {"name": "limit", "in": "query", "schema": {"type": "integer", "minimum": 1, "maximum": 1000}}
IF_MATCH = {
    "name": "If-Match",
    "in": "header",
    "schema": TEXT,
    "description": "the version that this rests on",
}
COPIES = {
    "name": "copies",
    "in": "query",
    "schema": WHOLE,
    "description": "with [replication]: answer once so many other members have the change",
}
NAME = {"name": "name", "in": "path", "required": True, "schema": TEXT}


def _object(required: tuple[str, ...] = (), **properties: Any) -> dict[str, Any]:
    return {"type": "object", "properties": properties, **({"required": list(required)} if required else {})}


def _closed(required: tuple[str, ...] = (), **properties: Any) -> dict[str, Any]:
    return {**_object(required, **properties), "additionalProperties": False}


SCHEMAS: dict[str, Any] = {
    "Share": _closed(
        weight={"type": "number", "exclusiveMinimum": 0},
        guarantee=PART,
        ceiling=PART,
        burst_ms=WHOLE,
        held=WHOLE,
        running=WHOLE,
        memory_kb=NUMBER,
        keys=WHOLE,
        connections=WHOLE,
        classes={"type": "object", "additionalProperties": {"type": "number", "exclusiveMinimum": 0}},
    ),
    "Route": _closed(("class",), method=TEXT, path=TEXT, **{"class": TEXT}),
    "Tenant": _closed(
        ("name", "backend"),
        name={**TEXT, "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        backend=TEXT,
        hosts={"type": "array", "items": TEXT},
        prefix=TEXT,
        key_header=TEXT,
        default_class=TEXT,
        max_open=WHOLE,
        held_kb=NUMBER,
        share={"$ref": "#/components/schemas/Share"},
        routes={"type": "array", "items": {"$ref": "#/components/schemas/Route"}},
        state={"enum": ["active", "suspended", "draining"], "readOnly": True},
    ),
    "Error": _object(("error",), error=TEXT, field=TEXT),
}

# with [replication], of changes
AWAY = {
    503: "who makes changes of this name is away, nothing was changed",
    504: "it may have been made, or it was and too few others have it yet: the text says which",
}

# method, path, what it does, parameters, schema of the body, answers beside the errors that all have
OPERATIONS: list[tuple[str, str, str, list[Any], Any, dict[int, str]]] = [
    (
        "GET",
        "/v1/tenants",
        "List tenants by name.",
        [LIMIT, {"name": "after", "in": "query", "schema": TEXT}],
        None,
        {200: "a page of tenants"},
    ),
    (
        "POST",
        "/v1/tenants",
        "Add a tenant.",
        [DRY, COPIES, {"name": "Idempotency-Key", "in": "header", "schema": {**TEXT, "maxLength": 128}}],
        "Tenant",
        {
            201: "the tenant",
            200: "what would change",
            400: "a field is wrong",
            409: "the name is taken",
            422: "the key was used for another",
            507: "not made durable, not made",
            **AWAY,
        },
    ),
    ("GET", "/v1/tenants/{name}", "Show a tenant.", [], None, {200: "the tenant", 404: "there is none"}),
    (
        "PUT",
        "/v1/tenants/{name}",
        "Replace a tenant as a whole.",
        [DRY, IF_MATCH, COPIES],
        "Tenant",
        {
            200: "the tenant",
            400: "a field is wrong",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            507: "not made durable, not made",
            **AWAY,
        },
    ),
    (
        "PATCH",
        "/v1/tenants/{name}",
        "Change a tenant by a merge patch (RFC 7396).",
        [DRY, IF_MATCH, COPIES],
        {"type": "object"},
        {
            200: "the tenant",
            400: "a field is wrong",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            507: "not made durable, not made",
            **AWAY,
        },
    ),
    (
        "DELETE",
        "/v1/tenants/{name}",
        "Remove a tenant once it has nothing in hand.",
        [
            DRY,
            IF_MATCH,
            COPIES,
            {"name": "within_ms", "in": "query", "schema": {**WHOLE, "maximum": 3_600_000}},
        ],
        None,
        {
            204: "it is gone",
            202: "it is being removed",
            200: "what would change",
            404: "there is none",
            412: "it has another version",
            507: "not made durable, not made",
            **AWAY,
        },
    ),
    (
        "POST",
        "/v1/tenants/{name}/suspend",
        "Refuse a tenant's new requests.",
        [DRY, IF_MATCH, COPIES],
        None,
        {
            200: "the tenant",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            **AWAY,
        },
    ),
    (
        "POST",
        "/v1/tenants/{name}/resume",
        "Take a tenant's requests again.",
        [DRY, IF_MATCH, COPIES],
        None,
        {
            200: "the tenant",
            404: "there is none",
            409: "it is being removed",
            412: "it has another version",
            **AWAY,
        },
    ),
    (
        "GET",
        "/v1/tenants/{name}/usage",
        "Tell how a tenant stands.",
        [],
        None,
        {200: "work in core-milliseconds, counts, parts of the node", 404: "there is none"},
    ),
    (
        "GET",
        "/v1/audit",
        "List changes, oldest first.",
        [LIMIT, {"name": "after", "in": "query", "schema": WHOLE}],
        None,
        {200: "a page of changes"},
    ),
    ("GET", "/v1/workers", "List workers.", [], None, {200: "all workers"}),
    ("GET", "/v1/workers/{name}", "Show a worker.", [], None, {200: "the worker", 404: "there is none"}),
    (
        "PUT",
        "/v1/workers/{name}",
        "Change whether a worker gets requests.",
        [],
        _object(("activation",), activation={"enum": list(ACTIVATIONS)}),
        {200: "the worker", 400: "no such activation", 404: "there is none"},
    ),
    ("GET", "/v1/status", "Tell how the node stands.", [], None, {200: "health, what is in hand, decisions"}),
    (
        "GET",
        "/v1/fleet",
        "List the members of the fleet.",
        [],
        None,
        {200: "this node, its health, and all members that it knows", 404: "this node is in no fleet"},
    ),
    (
        "POST",
        "/v1/fleet/forget/{name}",
        "Have the fleet forget dead members of a name.",
        [],
        None,
        {202: "they count as left", 404: "none is known", 409: "one lives"},
    ),
    (
        "GET",
        "/v1/fleet/changes",
        "Tell how far the members have the changes of the replicated table.",
        [
            {
                "name": "after",
                "in": "query",
                "schema": WHOLE,
                "description": "of orphans, for the next of them",
            }
        ],
        None,
        {200: "streams, positions, who is behind", 404: "this node has no [replication]"},
    ),
    (
        "POST",
        "/v1/fleet/take-over/{name}",
        "Have this control member write a stream from now on.",
        [
            DRY,
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
    ("GET", "/v1/counters", "Return all counters.", [], None, {200: "counts by name"}),
    ("GET", "/v1/openapi.json", "Return this document.", [], None, {200: "an OpenAPI document"}),
    ("POST", "/v1/drain", "Have the node leave.", [], None, {202: "it leaves", 409: "it does already"}),
]


def document() -> dict[str, Any]:
    """Return the document."""
    error = {"content": {"application/json": {"schema": {"$ref": "#/components/schemas/Error"}}}}
    paths: dict[str, Any] = {}
    for method, path, summary, parameters, body, answers in OPERATIONS:
        schema = {"$ref": f"#/components/schemas/{body}"} if isinstance(body, str) else body
        kind = "application/merge-patch+json" if method == "PATCH" else "application/json"
        paths.setdefault(path, {})[method.lower()] = {
            "summary": summary,
            "operationId": f"{method.lower()} {path}",
            "parameters": [*([NAME] if "{name}" in path else []), *parameters],
            **({"requestBody": {"required": True, "content": {kind: {"schema": schema}}}} if body else {}),
            "responses": {
                **{
                    str(status): {"description": text, **(error if status >= 400 else {})}
                    for status, text in answers.items()
                },
                "401": {"description": "no valid token", **error},
                "403": {"description": "the token is another tenant's", **error},
            },
        }
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
