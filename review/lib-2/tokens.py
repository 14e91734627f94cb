"""What accounts consumed, by what servers ran and what clients got."""


def configuration(prepaid, version=1, key="key-hule"):
    def route(name, kind, service, **more):
        return {
            "name": name,
            "host": "sueno.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeoutMs": 8000,
            "targetLatencyMs": 1500,
            "gapAimMs": 500,
            "priority": 1,
            "maxAttempts": 1,
            "sticky": kind == "streaming",
            "resumable": False,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("report", "streaming", "sueno-llm"),
            route("draft", "streaming", "sueno-llm", maxAttempts=2, resumable=True),
            route("charge", "non_idempotent", "suscripcion-app", timeoutMs=1500,
                  targetLatencyMs=300),
            route("lookup", "idempotent", "suscripcion-app", timeoutMs=1500,
                  targetLatencyMs=300, maxAttempts=2),
        ],
        "services": [
            {
                "name": "sueno-llm",
                "maxConns": 360,
                "healthPath": "/health",
                "engine": {"slots": 64, "kvCapacity": 414234, "stride": 5},
            },
            {"name": "suscripcion-app", "maxConns": 100, "healthPath": "/health"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 60000,
        },
        "tenants": [
            {"name": "hule930", "apiKeys": [key], "prepaid": prepaid},
            {"name": "puxa403", "apiKeys": ["key-puxa"], "prepaid": 10**9},
        ],
    }


def consumed(world, tenant, key, stride=5):
    """Input tokens, once a request, and output tokens that clients got."""
    prompts = {run.id: run.prompt for run in world.runs if run.tenant == tenant}
    output = sum(
        len(answer.events) * stride
        for answer in world.answers
        if answer.key == key and answer.status == 200
    )
    return sum(prompts.values()) + output
