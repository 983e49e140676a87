"""Replay of queued requests: fair scheduling, rate control and capacity loans."""
