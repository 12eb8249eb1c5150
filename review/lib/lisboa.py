"""Settings as a small deployment of lisboa-logs has them (kit/sites/lisboa-logs.toml), in the names of the wire."""


def settings(senders=2, slots=6, max_open=60):
    return {
        "balancers": senders, "index": 0, "period_ms": 5.0, "weights": "none", "registry_mode": "automatic",
        "over_share_worth": 1.0, "kinds": ["major-partner", "general-partner"], "customers": [],
        "report": {"how": "none", "columns": []},
        "lanes": [
            {"name": "contact-upload", "repeat": "dedup", "group": "all", "dedup_window_ms": 8000.0,
             "aim_ms": 3000.0, "hard_limit_ms": 20000.0, "gain": 1.0, "late_share": 0.4, "stream": False},
            {"name": "card-order", "repeat": "fragile", "group": "all", "dedup_window_ms": 20000.0,
             "aim_ms": 2500.0, "hard_limit_ms": 28000.0, "gain": 1.0, "late_share": 0.4, "stream": False,
             "fifo_by_key": True},
        ],
        "domain": {"call_slots": slots, "kind_batch": [10, 1], "own_limits": [False, False], "late": "line"},
        "bounds": {"cancel": True, "connect_timeout_ms": 1000.0, "idle_close_ms": 15000.0, "max_open": max_open,
                   "max_retry_after_ms": 2000.0, "may_probe": False, "parallel_tries": False, "peers": False,
                   "retry_after": True, "send_cap": 6, "streams_per_conn": 1},
        "rules": {"answer_slack_ms": 5.0, "ask_within_ms": 10000.0, "cold_from": 0.18, "cold_ms": 9100.0,
                  "fall_ms": 1500.0, "fall_multiple": 2.5, "settle_after_doubt_ms": 100.0,
                  "stop_sending_within_ms": 250.0},
        "layer": 0, "zone": "lisboa-1", "areas": ["lisboa-1"], "stages": ["partner-links"], "family": "deliver",
    }
