"""Settings of small deployments, with the keys of the wire page that a planner reads."""

CLASSES = {
    # name, deadline, window, group, idempotency, late-worth, on-time, points
    "brisbane-main": (
        ("till-import", 6000.0, 5000.0, "all", "retryable", 0.1, 800.0, 1.0),
        ("pool-calc", 6000.0, 5000.0, "all", "retryable", 0.1, 600.0, 3.0),
        ("payout-run", 5000.0, 5000.0, "all", "fragile", 0.2, 1000.0, 3.0),
    ),
    "derby-road": (
        ("path-check", 6000.0, 6000.0, "cell", "dedup", 0.1, 1000.0, 2.0),
        ("section-replan", 9500.0, 5000.0, "all", "retryable", 0.1, 5500.0, 1.0),
    ),
    "main-campus": (
        ("form-page", 5000.0, 5000.0, "all", "retryable", 0.1, 600.0, 1.0),
        ("hotel-report", 10000.0, 5000.0, "all", "dedup", 0.2, 5000.0, 5.0),
    ),
}
SITES = {
    "brisbane-main": {
        "discovery": "ask",
        "kinds": ["small-box", "large-box"],
        "zones": ["bne-dc1"],
        "tenants": ["reef-coast-dining", "fig-tree-kitchens"],
        "load-report": {"fields": ["x0", "x1"], "how": "inline"},
        "family-info": {
            "class-priority": [0, 1, 1],
            "confirms": "accepted",
            "cores-multiple": 4.0,
            "easy-until": [1.0, 0.8, 0.8],
            "fresh-offers": 113.0,
            "lost-after": [1.0, 0.2, 0.15],
            "makes-room": True,
            "mem-of-kind": [41.0, 80.0],
            "size-cores": [26, 47],
            "spread-over": ["off", "off", "off"],
            "start-bonus-s": [10.0, 8.0, 8.0],
        },
        "rules": {
            "cold": 15000.0,
            "cold-from": 0.24,
            "drain-grace": 250.0,
            "tip-after": 2000.0,
            "tip-multiple": 2.5,
        },
        "idle-close": 15000.0,
    },
    "derby-road": {
        "discovery": "ask",
        "kinds": ["std-24", "big-48"],
        "zones": ["derby-road-mr1"],
        "tenants": ["trentside-haulage", "dove-valley-freight"],
        "load-report": {"fields": ["x0", "x1", "busy"], "how": "on_probe"},
        "family-info": {
            "class-priority": [0, 0],
            "confirms": "running",
            "cores-multiple": 1.5,
            "easy-until": [0.8, 0.8],
            "fresh-offers": 38.0,
            "lost-after": [0.15, 0.15],
            "makes-room": False,
            "mem-of-kind": [64.0, 89.0],
            "size-cores": [26, 52],
            "spread-over": ["off", "off"],
            "start-bonus-s": [10.0, 12.0],
        },
        "rules": {
            "cold": 17000.0,
            "cold-from": 0.15,
            "drain-grace": 1000.0,
            "tip-after": 2000.0,
            "tip-multiple": 4.0,
        },
        "idle-close": 30000.0,
    },
    "main-campus": {
        "discovery": "push",
        "kinds": ["std-32", "big-64"],
        "zones": ["hall-a", "hall-b", "hall-c"],
        "tenants": ["morski-hoteli", "planina-grupa"],
        "load-report": {"fields": ["x0", "x1", "q", "busy"], "how": "on_probe"},
        "family-info": {
            "class-priority": [0, 1],
            "confirms": "running",
            "cores-multiple": 4.0,
            "easy-until": [1.0, 0.8],
            "fresh-offers": 31.0,
            "lost-after": [1.0, 0.15],
            "makes-room": False,
            "mem-of-kind": [69.0, 144.0],
            "size-cores": [29, 57],
            "spread-over": ["machine", "off"],
            "start-bonus-s": [8.0, 8.0],
        },
        "rules": {
            "cold": 18000.0,
            "cold-from": 0.17,
            "drain-grace": 250.0,
            "tip-after": 3000.0,
            "tip-multiple": 2.0,
        },
        "idle-close": 15000.0,
    },
}


def settings(site: str = "brisbane-main", balancers: int = 1, slot: int = 0) -> dict:
    own, classes = SITES[site], CLASSES[site]
    return {
        "balancers": balancers,
        "slot-no": slot,
        "discovery": own["discovery"],
        "classes": [
            {
                "name": name,
                "deadline": deadline,
                "dedup-window": window,
                "group": group,
                "idempotency": idempotency,
                "late-worth": late_worth,
                "long-lived": True,
                "on-time": on_time,
                "points": points,
            }
            for name, deadline, window, group, idempotency, late_worth, on_time, points in classes
        ],
        "family-info": {
            "accepts-memory": 1.5,
            "class-kind": [-1] * len(classes),
            "class-most": [2] * len(classes),
            "lists-free": True,
            "pressure-notes": True,
            "report-counts": "used",
            "settle": 3000.0,
            "use-notes": True,
        }
        | own["family-info"],
        "kinds": own["kinds"],
        "kind-of-service": "place",
        "limits": {
            "cancel": True,
            "connect-timeout": 250.0,
            "idle-close": own["idle-close"],
            "max-attempts": 4,
            "max-retry-after": 3000.0,
            "open-cap": 1_000_000,
            "peer-messages": False,
            "probing": True,
            "retry-after": True,
            "second-copies": False,
        },
        "load-report": own["load-report"],
        "locality": 0,
        "resolution": 2.0,
        "rules": {"answer-slack": 8.0, "ask-within": 10000.0} | own["rules"],
        "tenants": [{"name": name, "quota-rps": 25.0, "share": 0.5} for name in own["tenants"]],
        "worth-by": "work",
        "zones": own["zones"],
    }
