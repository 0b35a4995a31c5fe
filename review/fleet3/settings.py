"""Settings of a small deployment, as in DEPLOY.md and the sheet of Sahel Galley."""

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "hold_max_ms": 6000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "save_s": 0.5,
    "restore_ms": 600,
    "lease_ms": 3000,
    "reclaim_ms": 2700,
}
PLATFORM = {
    "writes_per_s": 800,
    "reads_per_s": 2000,
    "parts": 24,
    "append_ms": 1.0,
    "part_mb_s": 20.0,
    "read_mb_s": 80.0,
    "record_bytes": 262144,
    "call_bytes": 2097152,
    "keep_s": 300,
    "part_mb": 200,
    "ttl_min_ms": 1000,
}
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
