"""Replay of queued requests: fair scheduling, rate control, capacity loans and partition detection."""
